/* Parsing and checking of single settings values. */
#include "settings_value.h"
#include "text.h"
#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535
#define Z85_KEY_LENGTH 40
#define HASH_HEX_LENGTH (2 * RESOURCE_TOKEN_HASH_SIZE)
#define Z85_ALPHABET                                                                               \
  "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^!/*?&<>()[]{}@%$#"

static const char *const levels[] = {
#define X(name, text) [LOG_LEVEL_##name] = text,
  LOG_LEVEL_LIST (X)
#undef X
};

static bool
is_name (const char *text)
{
  size_t length = strspn (text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-.");

  return length > 0 && text[length] == '\0' && length < RESOURCE_NAME_SIZE
         && isalnum ((unsigned char) text[0]);
}

/* Accepts decimal digits only; strtoull() would also accept signs and spaces. */
static bool
read_number (const char *text, uint64_t low, uint64_t high, uint64_t *out)
{
  size_t length = strspn (text, "0123456789");

  if (length == 0 || text[length] != '\0')
    return false;
  errno = 0;
  *out = strtoull (text, NULL, 10);
  return errno == 0 && *out >= low && *out <= high;
}

bool
setting_is_address (const char *text, bool any_port)
{
  const char *colon = strrchr (text, ':');
  char ip[INET_ADDRSTRLEN];
  struct in_addr parsed;
  uint64_t port;
  size_t length;

  if (colon == NULL)
    return false;
  length = (size_t) (colon - text);
  if (length >= sizeof ip)
    return false;
  memcpy (ip, text, length);
  ip[length] = '\0';
  /* 0.0.0.0 cannot be advertised to other hosts or callers. */
  if (inet_pton (AF_INET, ip, &parsed) != 1 || parsed.s_addr == htonl (INADDR_ANY))
    return false;
  return read_number (colon + 1, any_port ? 0 : 1, PORT_MAX, &port);
}

/* Parses "name@ip:port" or "name@ip:port/KEY" from the left, because the key may contain the
 * characters '@', ':' and '/'. */
static bool
read_peer (const char *text, struct settings_peer *out)
{
  char copy[sizeof *out + 4];
  char *address;
  char *key;

  if (!text_copy (copy, sizeof copy, text))
    return false;
  address = strchr (copy, '@');
  if (address == NULL)
    return false;
  *address++ = '\0';
  key = strchr (address, '/');
  if (key != NULL)
    *key++ = '\0';
  if (!is_name (copy) || !setting_is_address (address, false))
    return false;
  if (key != NULL && (strlen (key) != Z85_KEY_LENGTH || strspn (key, Z85_ALPHABET) != strlen (key)))
    return false;
  return text_copy (out->name, sizeof out->name, copy)
         && text_copy (out->address, sizeof out->address, address)
         && text_copy (out->public_key, sizeof out->public_key, key == NULL ? "" : key);
}

static bool
read_peers (const char *value, uint64_t max, struct settings_peer *out, uint32_t *count)
{
  char item[sizeof (struct settings_peer) + 4];
  const char *from = value;

  memset (out, 0, max * sizeof *out);
  *count = 0;
  while (*(from += strspn (from, " \t")) != '\0')
    {
      size_t length = strcspn (from, ",");
      const char *next = from + length;

      while (length > 0 && isspace ((unsigned char) from[length - 1]))
        length--;
      if (length >= sizeof item || *count == max)
        return false;
      memcpy (item, from, length);
      item[length] = '\0';
      if (!read_peer (item, &out[*count]))
        return false;
      (*count)++;
      from = next + (*next == ',');
    }
  return true;
}

static bool
read_level (const char *value, enum log_level *out)
{
  int i;

  for (i = 0; i < LOG_LEVEL_COUNT; i++)
    {
      if (strcmp (levels[i], value) == 0)
        {
          *out = (enum log_level) i;
          return true;
        }
    }
  return false;
}

static bool
read_bool (const char *value, bool *out)
{
  *out = strcmp (value, "yes") == 0;
  return *out || strcmp (value, "no") == 0;
}

bool
setting_parse (const struct setting_key *key, const char *value, struct settings *out)
{
  char *field = (char *) out + key->offset;
  uint64_t number = 0;

  switch (key->type)
    {
    case SETTING_NAME:
      return is_name (value) && text_copy (field, RESOURCE_NAME_SIZE, value);
    case SETTING_LISTEN:
      return setting_is_address (value, true) && text_copy (field, RESOURCE_ADDRESS_SIZE, value);
    case SETTING_PATH:
      return text_copy (field, SETTINGS_PATH_SIZE, value);
    case SETTING_HASH:
      if (value[0] != '\0'
          && (strlen (value) != HASH_HEX_LENGTH
              || strspn (value, "0123456789abcdef") != HASH_HEX_LENGTH))
        return false;
      return text_copy (field, HASH_HEX_LENGTH + 1, value);
    case SETTING_BOOL:
      return read_bool (value, (bool *) field);
    case SETTING_COUNT:
      if (!read_number (value, key->low, key->high, &number))
        return false;
      *(uint32_t *) field = (uint32_t) number;
      return true;
    case SETTING_MSEC:
      if (!read_number (value, key->low, key->high, &number))
        return false;
      *(int64_t *) field = (int64_t) number * USEC_PER_MSEC;
      return true;
    case SETTING_PEERS:
      return read_peers (value, key->high, (struct settings_peer *) field,
                         (uint32_t *) ((char *) out + key->count_offset));
    case SETTING_LEVEL:
      return read_level (value, (enum log_level *) field);
    }
  return false;
}

void
setting_describe_expected (const struct setting_key *key, char out[SETTING_TEXT_SIZE])
{
  unsigned long long low = key->low;
  unsigned long long high = key->high;

  switch (key->type)
    {
    case SETTING_NAME:
      text_copy_truncated (out, SETTING_TEXT_SIZE,
                           "1 to 63 letters, digits, '-' and '.', no '-' or '.' first");
      break;
    case SETTING_LISTEN:
      text_copy_truncated (out, SETTING_TEXT_SIZE,
                           "IP:PORT, an IPv4 number others reach (not 0.0.0.0), port 0 to 65535");
      break;
    case SETTING_PATH:
      snprintf (out, SETTING_TEXT_SIZE, "a path of at most %d bytes", SETTINGS_PATH_SIZE - 1);
      break;
    case SETTING_HASH:
      text_copy_truncated (out, SETTING_TEXT_SIZE,
                           "64 lower-case hex digits, made by `keygen --token`");
      break;
    case SETTING_BOOL:
      text_copy_truncated (out, SETTING_TEXT_SIZE, "yes or no");
      break;
    case SETTING_COUNT:
      snprintf (out, SETTING_TEXT_SIZE, "a whole number from %llu to %llu", low, high);
      break;
    case SETTING_MSEC:
      snprintf (out, SETTING_TEXT_SIZE, "milliseconds, a whole number from %llu to %llu", low,
                high);
      break;
    case SETTING_PEERS:
      snprintf (out, SETTING_TEXT_SIZE,
                "at most %llu of NAME@IP:PORT or NAME@IP:PORT/KEY, parted by commas", high);
      break;
    case SETTING_LEVEL:
      text_copy_truncated (out, SETTING_TEXT_SIZE, "error, warning, info or debug");
      break;
    }
}
