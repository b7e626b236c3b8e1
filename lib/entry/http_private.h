/**
 * @file http_private.h
 * Shared by http.c and http_route.c alone.
 */
#pragma once

#include <microhttpd.h>
#include <pthread.h>

#include "entry/http.h"

G_BEGIN_DECLS

struct Http
{
  HttpOptions options;
  char *host;
  struct MHD_Daemon *daemon;
  pthread_t thread;
  int wake_fd; /**< written when an answer is there */
  gint stopping;
};

struct HttpRequest
{
  HttpAsk ask;
  Http *http;
  struct MHD_Connection *connection;
  char *target; /**< raw request target */
  GByteArray *received;
  gboolean is_started;   /**< the first callback has run */
  gboolean is_too_large; /**< the body passed its bound: the rest is dropped */
  gboolean is_submitted; /**< handed to the loop */
  GError *refusal;       /**< found before the body was read */
  gint status;           /**< of the answer; 0: none yet. Set last, atomically */
  char *content_type;
  GBytes *body;
  GPtrArray *headers; /**< names and values in turn */
};

/** Finds what the request asks from method and path; FALSE with the error. */
gboolean http_route (HttpRequest *request, const char *method, const char *path, GError **error);

/** Reads what the body says; FALSE with the error. */
gboolean http_read_body (HttpRequest *request, GError **error);

/** Answers on the HTTP thread what needs no loop, and refuses early; TRUE when it is answered. */
gboolean http_answer_here (HttpRequest *request);

G_END_DECLS
