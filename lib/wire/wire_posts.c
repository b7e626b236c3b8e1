#include "wire/wire_posts.h"

#include <errno.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "common/err.h"

typedef struct
{
  void (*function) (void *ctx, void *data);
  void *ctx;
  void *data;
} Call;

struct WirePosts
{
  pthread_mutex_t mutex;
  GArray *calls; /**< Call; guarded by mutex, like closed */
  gboolean closed;
  uint32_t max;
  int fd;
};

WirePosts *
wire_posts_new (uint32_t max, GError **error)
{
  int fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);

  if (fd < 0)
    {
      err_set (error, ERR_INTERNAL, "eventfd: %s", g_strerror (errno));
      return NULL;
    }
  WirePosts *posts = g_new0 (WirePosts, 1);
  (void) pthread_mutex_init (&posts->mutex, NULL);
  posts->calls = g_array_new (FALSE, FALSE, sizeof (Call));
  posts->max = max;
  posts->fd = fd;
  return posts;
}

void
wire_posts_free (WirePosts *posts)
{
  if (posts == NULL)
    return;
  g_assert (posts->calls->len == 0);
  (void) close (posts->fd);
  g_array_unref (posts->calls);
  (void) pthread_mutex_destroy (&posts->mutex);
  g_free (posts);
}

int
wire_posts_fd (const WirePosts *posts)
{
  return posts->fd;
}

static void
wake (const WirePosts *posts)
{
  uint64_t one = 1;

  if (write (posts->fd, &one, sizeof (one)) < 0)
    g_assert (errno == EAGAIN);
}

gboolean
wire_posts_add (WirePosts *posts, void (*function) (void *ctx, void *data), void *ctx, void *data)
{
  Call call = { function, ctx, data };
  gboolean added;

  (void) pthread_mutex_lock (&posts->mutex);
  added = !posts->closed && posts->calls->len < posts->max;
  if (added)
    g_array_append_val (posts->calls, call);
  (void) pthread_mutex_unlock (&posts->mutex);
  if (added)
    wake (posts);
  return added;
}

void
wire_posts_close (WirePosts *posts)
{
  (void) pthread_mutex_lock (&posts->mutex);
  posts->closed = TRUE;
  (void) pthread_mutex_unlock (&posts->mutex);
  wake (posts);
}

gboolean
wire_posts_run (WirePosts *posts)
{
  g_autoptr (GArray) calls = NULL;
  GArray *empty = g_array_new (FALSE, FALSE, sizeof (Call));
  uint64_t count;
  gboolean closed;

  if (read (posts->fd, &count, sizeof (count)) < 0)
    g_assert (errno == EAGAIN);
  (void) pthread_mutex_lock (&posts->mutex);
  calls = posts->calls;
  posts->calls = empty;
  closed = posts->closed;
  (void) pthread_mutex_unlock (&posts->mutex);
  for (guint i = 0; i < calls->len; i++)
    {
      const Call *call = &g_array_index (calls, Call, i);
      call->function (call->ctx, call->data);
    }
  return closed;
}
