/**
 * @file tab.h
 * Prints JSON answers for people: scalars as lines, lists of objects as tables.
 */
#pragma once

#include <jansson.h>
#include <stdio.h>

/** Prints @p root to @p out; each list of objects becomes a table under its key. */
void tab_print (FILE *out, const json_t *root);
