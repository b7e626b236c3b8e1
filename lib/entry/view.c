#include "entry/view.h"

#include <urcu.h>

typedef struct
{
  View view;
  struct rcu_head head;
} Node;

struct ViewBoard
{
  Node *newest;
};

ViewBoard *
view_board_new (void)
{
  return g_new0 (ViewBoard, 1);
}

static void
node_free (Node *node)
{
  if (node == NULL)
    return;
  config_unref (node->view.config);
  g_hash_table_unref (node->view.live_services);
  g_free (node);
}

static void
reclaim (struct rcu_head *head)
{
  node_free (caa_container_of (head, Node, head));
}

void
view_board_free (ViewBoard *board)
{
  if (board == NULL)
    return;
  rcu_barrier ();
  node_free (board->newest);
  g_free (board);
}

void
view_publish (ViewBoard *board, const View *view)
{
  Node *node = g_new0 (Node, 1);

  node->view = *view;
  Node *old = rcu_xchg_pointer (&board->newest, node);
  if (old != NULL)
    call_rcu (&old->head, reclaim);
}

const View *
view_enter (ViewBoard *board)
{
  rcu_read_lock ();
  const Node *node = rcu_dereference (board->newest);
  return node != NULL ? &node->view : NULL;
}

void
view_leave (ViewBoard *board)
{
  (void) board;
  rcu_read_unlock ();
}
