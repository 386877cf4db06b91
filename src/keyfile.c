/* The key file, in INI format: two lines, public_key and secret_key. */
#include "keyfile.h"
#include "text.h"
#include <errno.h>
#include <fcntl.h>
#include <ini.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.h>

#define KEYFILE_MODE 0600
#define KEYFILE_MAX_BYTES 4096
#define Z85_LENGTH 40

enum status
key_pair_generate (struct key_pair *out)
{
  memset (out, 0, sizeof *out);
  if (zmq_curve_keypair (out->public_key, out->secret_key) != 0)
    return status_fail (STATUS_UNSUPPORTED, "key pair: %s", zmq_strerror (errno));
  return STATUS_OK;
}

static bool
write_all (int fd, const char *text, size_t length)
{
  while (length > 0)
    {
      ssize_t written = write (fd, text, length);

      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        return false;
      text += written;
      length -= (size_t) written;
    }
  return true;
}

enum status
keyfile_write (const char *path, const struct key_pair *pair)
{
  char text[256];
  int length = snprintf (text, sizeof text,
                         "; cherryarch host key: keep secret_key to this host\n"
                         "public_key = %s\nsecret_key = %s\n",
                         pair->public_key, pair->secret_key);
  int fd = open (path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, KEYFILE_MODE);
  enum status status = STATUS_OK;

  if (fd < 0 && errno == EEXIST)
    return status_fail (STATUS_EXISTS, "%s: the file already exists and was not changed", path);
  if (fd < 0)
    return status_fail (STATUS_IO, "%s: %s", path, strerror (errno));
  if (!write_all (fd, text, (size_t) length) || fsync (fd) != 0)
    status = status_fail (STATUS_IO, "%s: %s", path, strerror (errno));
  close (fd);
  if (status != STATUS_OK)
    unlink (path);
  sodium_memzero (text, sizeof text);
  return status;
}

static int
handle_value (void *user, const char *section, const char *name, const char *value)
{
  struct key_pair *pair = user;
  char *field = NULL;

  if (section[0] != '\0' || strlen (value) != Z85_LENGTH)
    return 0;
  if (strcmp (name, "public_key") == 0)
    field = pair->public_key;
  else if (strcmp (name, "secret_key") == 0)
    field = pair->secret_key;
  return field != NULL && field[0] == '\0' && text_copy (field, KEYFILE_TEXT_SIZE, value);
}

enum status
keyfile_parse (const char *path, const char *text, struct key_pair *out)
{
  char derived[KEYFILE_TEXT_SIZE] = "";
  int bad_line;

  memset (out, 0, sizeof *out);
  bad_line = ini_parse_string (text, handle_value, out);
  if (bad_line != 0)
    return status_fail (
        STATUS_CORRUPT,
        "%s:%d: expected public_key or secret_key, once each, with 40 characters of Z85", path,
        bad_line);
  if (out->public_key[0] == '\0' || out->secret_key[0] == '\0')
    return status_fail (STATUS_CORRUPT, "%s: expected public_key and secret_key", path);
  if (zmq_curve_public (derived, out->secret_key) != 0 || strcmp (derived, out->public_key) != 0)
    return status_fail (STATUS_CORRUPT, "%s: public_key does not belong to secret_key", path);
  return STATUS_OK;
}

/* Reads the content of the open file.  The mode is checked on the same descriptor, so that both
 * belong to the same file. */
static enum status
read_text (int fd, const char *path, char *text, size_t size)
{
  struct stat about;
  ssize_t length;

  if (fstat (fd, &about) != 0)
    return status_fail (STATUS_IO, "%s: %s", path, strerror (errno));
  if ((about.st_mode & (S_IRWXG | S_IRWXO)) != 0)
    return status_fail (STATUS_DENIED,
                        "%s: expected mode 0600, got 0%o, which lets other users open it", path,
                        about.st_mode & 0777);
  length = read (fd, text, size - 1);
  if (length < 0)
    return status_fail (STATUS_IO, "%s: %s", path, strerror (errno));
  text[length] = '\0';
  return STATUS_OK;
}

enum status
keyfile_read (const char *path, struct key_pair *out)
{
  char text[KEYFILE_MAX_BYTES];
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  enum status status;

  if (fd < 0)
    return status_fail (STATUS_IO, "%s: %s", path, strerror (errno));
  status = read_text (fd, path, text, sizeof text);
  close (fd);
  if (status == STATUS_OK)
    status = keyfile_parse (path, text, out);
  sodium_memzero (text, sizeof text);
  return status;
}
