/**
 * @file callers.h
 * Callers that hand jobs in, ask for their states and cancel some, over connections that stay open.
 */
#pragma once

#include "book.h"
#include "net/net_client.h"

G_BEGIN_DECLS

typedef struct Callers Callers;

typedef struct
{
  const Soak *soak;
  Book *book;
  NetClient *client;
} CallersOptions;

Callers *callers_new (const CallersOptions *options);
/** The main loop must not run any more. */
void callers_free (Callers *callers);

/** Hands no new jobs in any more. */
void callers_stop (Callers *callers);

G_END_DECLS
