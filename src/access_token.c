/* Hashing of tokens, shared by the host that checks them and the command that generates them. */
#include "access.h"
#include <sodium.h>
#include <string.h>

void
access_hash_token (const char *token, uint8_t out[RESOURCE_TOKEN_HASH_SIZE])
{
  crypto_generichash (out, RESOURCE_TOKEN_HASH_SIZE, (const unsigned char *) token, strlen (token),
                      NULL, 0);
}
