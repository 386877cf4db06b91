/* Preloaded into hosts under test: a disk whose syncs take a known time, whatever that of the
 * machine does.  A sync takes as many milliseconds as the file named by SYNC_SHIM holds, 0 without
 * one.  Hosts under test lose no power, so nothing needs to reach the disk. */
#include <fcntl.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

/* Read in steps, as the number may change during a sync. */
#define STEP_MS 10

static int
read_time (void)
{
  const char *path = getenv ("SYNC_SHIM");
  int fd = path == NULL ? -1 : open (path, O_RDONLY | O_CLOEXEC);
  char text[16] = "";

  if (fd < 0)
    return 0;
  if (read (fd, text, sizeof text - 1) < 0)
    text[0] = '\0';
  close (fd);
  return atoi (text);
}

static int
sync_file (void)
{
  const struct timespec step = { .tv_nsec = STEP_MS * 1000000L };

  for (int waited = 0; waited < read_time (); waited += STEP_MS)
    nanosleep (&step, NULL);
  return 0;
}

int
fdatasync (int fd)
{
  (void) fd;
  return sync_file ();
}

int
fsync (int fd)
{
  (void) fd;
  return sync_file ();
}
