/**
 * @file tab.h
 * Prints JSON answers in readable form: scalars as lines, lists of objects as tables.
 */
#pragma once

#include <jansson.h>
#include <stdio.h>

/** Prints @p root to @p out. Each list of objects is printed as a table below its key. */
void tab_print (FILE *out, const json_t *root);
