/* Pieces of a generation: each is accepted once, in order, from one attempt at a time.
 *
 * Accepted pieces are kept when their attempt fails, and the next attempt is asked for those after
 * them (`resume_from`), so that the caller's text neither repeats nor misses a piece. */
#include "flow_private.h"
#include <string.h>

static const char done_marker[] = "[DONE]";

static bool
is_streamed_to_caller (const struct flow_request *request)
{
  return request->stream && request->exchange != NULL
         && request->decide.stage + 1 == request->spec->n_stages;
}

/* The first attempt that returns a piece becomes the only source of the text.  The other attempt is
 * cancelled at once to save cost. */
static void
select_source (struct flow_attempt *attempt, struct flow_request *request, int64_t now)
{
  int i;

  request->text.source = attempt->self;
  for (i = 0; i < FLOW_LIVE_ATTEMPTS_MAX; i++)
    {
      struct flow_attempt *other = flow_find_attempt (request->flow, request->live_attempts[i]);

      if (other != NULL && other != attempt)
        flow_attempt_cancel (other, DECIDE_END_LOST, now);
    }
}

/* Result of processing a piece. */
enum flow_piece_result
{
  FLOW_PIECE_ACCEPTED,
  FLOW_PIECE_DUPLICATE, /* accepted before: repeated, or the engine started from the beginning */
  FLOW_PIECE_INVALID    /* does not fit the text, or no memory for it */
};

/* End offset of the first `n` pieces of the text. */
static size_t
pieces_end_offset (const struct flow_text *text, uint32_t n)
{
  uint32_t end = 0;

  if (n > 0)
    memcpy (&end, text->piece_ends.data + (size_t) (n - 1) * sizeof end, sizeof end);
  return end;
}

static bool
piece_is_duplicate (const struct flow_text *text, const struct stage_piece *piece)
{
  size_t start = pieces_end_offset (text, piece->index);
  size_t length = pieces_end_offset (text, piece->index + 1) - start;

  return piece->text_length == length && memcmp (text->text.data + start, piece->text, length) == 0;
}

static enum status
add_piece (struct flow_text *text, const struct stage_piece *piece)
{
  uint32_t end = (uint32_t) (text->text.length + piece->text_length);

  bytes_append (&text->text, piece->text, piece->text_length);
  bytes_append (&text->piece_ends, &end, sizeof end);
  if (bytes_has_failed (&text->text) || bytes_has_failed (&text->piece_ends))
    return status_fail (STATUS_NO_MEMORY, "no memory for a piece");
  text->n_pieces++;
  return STATUS_OK;
}

static enum flow_piece_result
accept_piece (struct flow_text *text, const struct stage_piece *piece)
{
  if (piece->text_length == 0)
    return FLOW_PIECE_ACCEPTED;
  if (piece->index > text->n_pieces)
    {
      status_fail (STATUS_MALFORMED, "piece has index %u, expected at most %u", piece->index,
                   text->n_pieces);
      return FLOW_PIECE_INVALID;
    }
  if (piece->index == text->n_pieces)
    return add_piece (text, piece) == STATUS_OK ? FLOW_PIECE_ACCEPTED : FLOW_PIECE_INVALID;
  if (piece_is_duplicate (text, piece))
    return FLOW_PIECE_DUPLICATE;
  /* This attempt continues a text other than the one the caller has. */
  status_fail (STATUS_MALFORMED, "piece %u differs from the one accepted before", piece->index);
  return FLOW_PIECE_INVALID;
}

/* The last piece gives the number of pieces of the text.  A different number means that the engine
 * skipped some or did not continue from the pieces accepted so far. */
static bool
finish_text (struct flow_attempt *attempt, struct flow_text *text)
{
  if (attempt->n_pieces != text->n_pieces)
    {
      status_fail (STATUS_MALFORMED, "text ends after %u pieces, expected %u", attempt->n_pieces,
                   text->n_pieces);
      return false;
    }
  text->finished = true;
  return true;
}

/* Limits the wait for the end of the stream after the last piece: an engine may leave it open, and
 * the text is complete, so the request must not wait for its deadline. */
static void
arm_end_timeout (struct flow_attempt *attempt, const struct flow_request *request, int64_t now)
{
  int64_t due = now + FLOW_STREAM_END_TIMEOUT;

  if (due >= request->decide.deadline && request->phase == FLOW_PHASE_RUNNING)
    due = request->decide.deadline - 1;
  timer_arm (attempt->flow->config.timers, &attempt->give_up, due);
}

/* Handles one piece; false when the attempt cannot continue or has ended. */
static bool
handle_piece (struct flow_attempt *attempt,
              struct flow_request *request,
              const struct stage_piece *piece)
{
  struct flow *flow = attempt->flow;
  struct handle self = attempt->self;
  enum flow_piece_result result;

  if (!handle_equal (request->text.source, self))
    select_source (attempt, request, attempt->event_at);
  result = accept_piece (&request->text, piece);
  if (result == FLOW_PIECE_INVALID)
    return false;
  if (piece->text_length > 0)
    attempt->n_pieces = piece->index + 1;
  else if (piece->finished && piece->has_index)
    attempt->n_pieces = piece->index;
  if (result == FLOW_PIECE_DUPLICATE)
    flow_count_dropped (flow);
  if (piece->finished)
    {
      if (!finish_text (attempt, &request->text))
        return false;
      attempt->usage = piece->usage;
      arm_end_timeout (attempt, request, attempt->event_at);
    }
  if (result == FLOW_PIECE_ACCEPTED && piece->text_length > 0 && is_streamed_to_caller (request)
      && !flow_answer_piece (request, piece->text, piece->text_length, piece->index))
    flow_abort_answer (request, attempt->event_at);
  /* The write may have found the caller disconnected, which ends the request and this attempt. */
  return flow_find_attempt (flow, self) != NULL;
}

static bool
handle_event (struct sse_sink *sink, const char *name, const char *data, size_t length)
{
  struct flow_attempt *attempt = CONTAINER_OF (sink, struct flow_attempt, event_sink);
  struct flow_request *request = flow_find_request (attempt->flow, attempt->request);
  struct stage_piece piece;
  bool can_continue;

  (void) name;
  if (length == sizeof done_marker - 1 && memcmp (data, done_marker, length) == 0)
    return true;
  if (request->text.finished)
    {
      flow_count_dropped (attempt->flow);
      return true;
    }
  if (stage_piece_parse (data, length, &piece) != STATUS_OK)
    return false;
  can_continue = handle_piece (attempt, request, &piece);
  stage_piece_clear (&piece);
  return can_continue;
}

const struct sse_sink_ops flow_stream_ops = { .event = handle_event };

void
flow_stream_data (struct flow_attempt *attempt, const void *data, size_t length, int64_t now)
{
  struct flow *flow = attempt->flow;
  struct handle self = attempt->self;

  flow_attempt_note_data (attempt, now);
  attempt->event_at = now;
  if (sse_feed (&attempt->sse, data, length, &attempt->event_sink) == STATUS_OK
      || flow_find_attempt (flow, self) == NULL)
    return;
  log_event (LOG_MODULE_FLOW, LOG_LEVEL_WARNING, "stream-malformed", "{s:s,s:s}", "target",
             attempt->target, "error", status_message ());
  flow_count_dropped (flow);
  flow_stream_end (attempt, DECIDE_END_WRONG, now);
}

bool
flow_stream_is_whole (const struct flow_attempt *attempt, const struct flow_request *request)
{
  return request->text.finished && handle_equal (request->text.source, attempt->self);
}

void
flow_stream_end (struct flow_attempt *attempt, enum decide_end end_if_incomplete, int64_t now)
{
  struct flow_request *request = flow_find_request (attempt->flow, attempt->request);
  struct flow_text *text = &request->text;

  /* The last piece completes the text; only the end of the stream may be missing after it. */
  if (!flow_stream_is_whole (attempt, request))
    return flow_attempt_fail (attempt, end_if_incomplete, !attempt->sent, false, now);
  if (stage_set_input (&request->data, text->text.data, text->text.length) != STATUS_OK)
    return flow_attempt_fail (attempt, DECIDE_END_FAILED, false, false, now);
  if (attempt->usage.output_tokens < text->n_pieces)
    attempt->usage.output_tokens = text->n_pieces;
  flow_attempt_complete (attempt, request, now);
}
