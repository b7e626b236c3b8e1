/**
 * @file level.h
 * Levels of builds: which invariants an owner of a build keeps.
 *
 * Builds of several levels run side by side while instances are replaced. A record that restricts
 * what later owners do holds only as long as each owner keeps it. Owners announce their level, and
 * the term since which all owners have been of that level or a higher one; what was written before
 * that term is not relied on.
 */
#pragma once

/** Owners start nothing at agents that the ledger names as silent. Earlier builds announce none. */
#define LEVEL_SILENT_AGENTS 1

/** Level of this build. */
#define LEVEL_CURRENT LEVEL_SILENT_AGENTS
