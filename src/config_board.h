/* From the store's objects to the board's entries. */
#ifndef CONFIG_BOARD_H
#define CONFIG_BOARD_H

#include "access.h"
#include "board.h"
#include "decls.h"
#include "store.h"

BEGIN_DECLS

struct config_board;

/* `access` may be NULL. */
struct config_board *config_board_new (void *parent, struct board *board, struct access *access);

/* Bring one change in.  STATUS_UNSUPPORTED, and the board as it was, for a spec that this release
 * cannot read. */
enum status config_board_change (struct config_board *self, const struct store_event *event);

/* Bring everything in, and take away what the store does not hold.  The count of specs that this
 * release cannot read. */
uint32_t config_board_replace (struct config_board *self, const struct store *store);

END_DECLS

#endif
