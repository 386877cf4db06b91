/* The texts of claim verdicts. */
#include "claim.h"

static const char *const verdicts[] = {
#define X(name, text) [CLAIM_##name] = text,
  CLAIM_VERDICT_LIST (X)
#undef X
};

const char *
claim_verdict_text (enum claim_verdict verdict)
{
  return (unsigned) verdict < CLAIM_VERDICT_COUNT ? verdicts[verdict] : "unknown";
}
