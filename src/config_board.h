/* Applies the store's objects to the board's entries. */
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

/* Apply one change.  STATUS_UNSUPPORTED, with the board unchanged, for a spec that this release
 * cannot read; STATUS_LIMIT when a table is full. */
enum status config_board_apply (struct config_board *self, const struct store_event *event);

/* Apply all objects of the store and remove the entries that it does not hold.  Return the number
 * of objects that could not be applied. */
uint32_t config_board_replace (struct config_board *self, const struct store *store);

END_DECLS

#endif
