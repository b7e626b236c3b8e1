/**
 * @file callers.h
 * Callers that submit jobs, poll their states and cancel some, over persistent connections.
 */
#pragma once

#include "checker.h"
#include "net/net_client.h"

G_BEGIN_DECLS

typedef struct Callers Callers;

typedef struct
{
  const Soak *soak;
  Checker *checker;
  NetClient *client;
} CallersOptions;

Callers *callers_new (const CallersOptions *options);
/** Must not be called while the main loop runs. */
void callers_free (Callers *callers);

/** Stops the submission of new jobs. Once all have ended, the wide job follows: a task for each
 * worker, each of which needs more than half of one. */
void callers_stop (Callers *callers);

G_END_DECLS
