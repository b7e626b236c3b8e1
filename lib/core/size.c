#include "core/tables.h"

DocSize
size_add (DocSize a, DocSize b)
{
  return (DocSize){ a.cpu_milli + b.cpu_milli, a.memory_mb + b.memory_mb,
                    a.accelerators + b.accelerators };
}

DocSize
size_sub (DocSize a, DocSize b)
{
  return (DocSize){ a.cpu_milli - b.cpu_milli, a.memory_mb - b.memory_mb,
                    a.accelerators - b.accelerators };
}

DocSize
size_min (DocSize a, DocSize b)
{
  return (DocSize){ MIN (a.cpu_milli, b.cpu_milli), MIN (a.memory_mb, b.memory_mb),
                    MIN (a.accelerators, b.accelerators) };
}

DocSize
size_max (DocSize a, DocSize b)
{
  return (DocSize){ MAX (a.cpu_milli, b.cpu_milli), MAX (a.memory_mb, b.memory_mb),
                    MAX (a.accelerators, b.accelerators) };
}

gboolean
size_fits (DocSize inner, DocSize outer)
{
  return inner.cpu_milli <= outer.cpu_milli && inner.memory_mb <= outer.memory_mb
         && inner.accelerators <= outer.accelerators;
}
