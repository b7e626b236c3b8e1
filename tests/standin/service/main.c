/**
 * @file main.c
 * standin-service: back end of a service, for tests and the demo.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "standin/service/service.h"
#include "support/fake_main.h"

#define EXIT_USAGE 2
#define ERRORS_SHOWN 8
#define PORT_DEFAULT 9100
#define SLOTS_DEFAULT 8
#define CONNECTIONS_DEFAULT 64
#define SERVICE_MS_DEFAULT 5
#define PORT_MAX 65535

typedef struct
{
  struct arg_int *port;
  struct arg_int *slots;
  struct arg_int *connections;
  struct arg_int *service_ms;
  struct arg_str *name;
  struct arg_lit *help;
  struct arg_end *end;
} Arguments;

static void
make_arguments (Arguments *arguments)
{
  arguments->port = arg_int0 (NULL, "port", "N", "port on 127.0.0.1");
  arguments->slots = arg_int0 (NULL, "slots", "N", "number of requests run at once");
  arguments->connections
      = arg_int0 (NULL, "connections", "N", "number of requests running and queued");
  arguments->service_ms = arg_int0 (NULL, "service-ms", "N", "run time of a request");
  arguments->name = arg_str0 (NULL, "name", "NAME", "service name in answers");
  arguments->help = arg_lit0 (NULL, "help", "print this text and exit");
  arguments->end = arg_end (ERRORS_SHOWN);
  arguments->port->ival[0] = PORT_DEFAULT;
  arguments->slots->ival[0] = SLOTS_DEFAULT;
  arguments->connections->ival[0] = CONNECTIONS_DEFAULT;
  arguments->service_ms->ival[0] = SERVICE_MS_DEFAULT;
  arguments->name->sval[0] = "service";
}

static int
run (const Arguments *arguments)
{
  ServiceOptions options = {
    .port = (uint16_t) arguments->port->ival[0],
    .slots = (uint32_t) arguments->slots->ival[0],
    .connections = (uint32_t) arguments->connections->ival[0],
    .service_ms = arguments->service_ms->ival[0],
    .name = arguments->name->sval[0],
  };

  fake_main_block_signals ();
  Service *service = service_new (&options);
  if (service == NULL)
    {
      (void) fprintf (stderr, "standin-service: can't listen on port %u\n", options.port);
      return EXIT_FAILURE;
    }
  fake_main_wait ("standin-service", options.port);
  service_free (service);
  return EXIT_SUCCESS;
}

static gboolean
in_range (const Arguments *arguments)
{
  return arguments->port->ival[0] > 0 && arguments->port->ival[0] <= PORT_MAX
         && arguments->slots->ival[0] > 0 && arguments->connections->ival[0] > 0
         && arguments->service_ms->ival[0] >= 0;
}

int
main (int argc, char **argv)
{
  Arguments arguments;
  int status = EXIT_SUCCESS;

  make_arguments (&arguments);
  void *table[] = { arguments.port, arguments.slots, arguments.connections, arguments.service_ms,
                    arguments.name, arguments.help,  arguments.end };
  int errors = arg_parse (argc, argv, table);
  if (arguments.help->count > 0)
    {
      printf ("Usage: standin-service");
      arg_print_syntax (stdout, table, "\n\n");
      arg_print_glossary (stdout, table, "  %-26s %s\n");
    }
  else if (errors > 0 || !in_range (&arguments))
    {
      arg_print_errors (stderr, arguments.end, "standin-service");
      status = EXIT_USAGE;
    }
  else
    status = run (&arguments);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
