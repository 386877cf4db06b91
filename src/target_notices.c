/* Applies what targets say of themselves in their answers. */
#include "target_notices.h"
#include <talloc.h>

struct target_notices
{
  struct target_notices_config config;
  struct counter *rests;
};

void
target_notices_take (struct target_notices *notices,
                     struct balance_target *target,
                     unsigned status,
                     const struct response_fields *fields,
                     int64_t sent_at,
                     int64_t now)
{
  struct balance *balance = notices->config.balance;

  if (status == HTTP_STATUS_MISDIRECTED_REQUEST)
    return;
  if (fields->cold_left != DIALECT_NO_COLD)
    balance_heard_cold (balance, target, fields->cold_left, sent_at, now);
  if (fields->rest != DIALECT_NO_REST)
    {
      balance_heard_rest (balance, target, fields->rest, now);
      counter_add (notices->rests, 1);
    }
  limit_news_heard (notices->config.limit_news, target, fields->limit, now);
}

struct target_notices *
target_notices_new (void *parent, const struct target_notices_config *config)
{
  struct target_notices *notices = talloc_zero (parent, struct target_notices);

  if (notices == NULL)
    return NULL;
  notices->config = *config;
  notices->rests = counter_get (config->counters, "cherryarch_target_rests_total",
                                "Answers in which targets asked for a rest.", NULL);
  return notices;
}
