// Malformed input from a caller, a target or another host.  A decoder that trusts a length or a
// type in it crashes the host, and with it every request in flight.
#include "fuzz.h"
#include <gtest/gtest.h>
#include <set>
#include <string>

namespace
{

const uint64_t SEED = 20261202;
const uint64_t RUNS = 3000;

struct fuzz : testing::TestWithParam<const struct fuzz_decoder *>
{
};

using Fuzz = fuzz;

TEST_P (Fuzz, AcceptsItsSamplesAndRejectsEmptyInput)
{
  const struct fuzz_decoder *decoder = GetParam ();

  for (uint32_t i = 0; i < decoder->n_samples; i++)
    {
      struct bytes sample;

      bytes_init (&sample, nullptr);
      decoder->sample (i, &sample);
      ASSERT_FALSE (bytes_has_failed (&sample));
      EXPECT_EQ (fuzz_decode (decoder, sample.data, sample.length), STATUS_OK)
          << i << ": " << status_message ();
      bytes_clear (&sample);
    }
  EXPECT_NE (fuzz_decode (decoder, "", 0), STATUS_OK);
}

// A message truncated anywhere, as by a sender that crashed, is rejected or read as a shorter valid
// one.
TEST_P (Fuzz, SurvivesTruncationAtAnyLength)
{
  const struct fuzz_decoder *decoder = GetParam ();

  for (uint32_t i = 0; i < decoder->n_samples; i++)
    {
      struct bytes sample;

      bytes_init (&sample, nullptr);
      decoder->sample (i, &sample);
      for (size_t length = 0; length < sample.length; length++)
        fuzz_decode (decoder, sample.data, length);
      bytes_clear (&sample);
    }
}

// The sanitizers report invalid reads and writes, leaks and undefined behaviour.  A decoder that
// rejects nothing checks nothing, so some inputs must be rejected.
TEST_P (Fuzz, SurvivesMutationsAndRejectsSome)
{
  struct fuzz_result result = {};

  fuzz_run (GetParam (), SEED, RUNS, &result);
  EXPECT_EQ (result.runs, RUNS);
  EXPECT_GT (result.rejected, RUNS / 20);
}

std::vector<const struct fuzz_decoder *>
all_decoders ()
{
  std::vector<const struct fuzz_decoder *> all;

  for (size_t i = 0; fuzz_decoders[i] != nullptr; i++)
    all.push_back (fuzz_decoders[i]);
  return all;
}

INSTANTIATE_TEST_SUITE_P (Decoders,
                          Fuzz,
                          testing::ValuesIn (all_decoders ()),
                          [] (const auto &parameter) {
                            std::string name = parameter.param->name;

                            for (char &c : name)
                              c = c == '-' ? '_' : c;
                            return name;
                          });

} // namespace
