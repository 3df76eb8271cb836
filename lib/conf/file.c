#include "conf.h"

#include "node.h"

#include <errno.h>
#include <fcntl.h>
#include <unistd.h>

bool
conf_read_file (apr_pool_t *pool, const char *path, str_t *text, err_t *e)
{
  char *p;
  size_t n = 0;
  ssize_t got;
  int fd = open (path, O_RDONLY | O_CLOEXEC);

  if (fd < 0)
    return err_sys (e, path, "open");
  p = apr_palloc (pool, CONF_MAX_TEXT + 2);
  do
    {
      got = read (fd, p + n, CONF_MAX_TEXT + 1 - n);
      if (got > 0)
        n += (size_t)got;
    }
  while (got > 0 || (got < 0 && errno == EINTR));
  int saved = errno;
  close (fd);
  errno = saved;
  if (got < 0)
    return err_sys (e, path, "read");
  if (n > CONF_MAX_TEXT)
    return err_set (e, ERR_TOO_LARGE, path, "over %d bytes", CONF_MAX_TEXT);
  p[n] = '\0';
  *text = (str_t){ p, n };
  return true;
}

bool
conf_check (apr_pool_t *pool, const char *file, str_t text, bool *settings,
            err_t *e)
{
  node_t *n = node_parse (pool, file, text, e);

  if (n == NULL)
    return false;
  *settings = node_get (n, "role") != NULL;
  return *settings ? settings_parse (pool, file, text, e) != NULL
                   : questionnaire_parse (pool, file, text, e) != NULL;
}
