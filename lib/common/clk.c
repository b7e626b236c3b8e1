#include "common/clk.h"

#include <time.h>

static int64_t
read_clock_us (clockid_t id)
{
  struct timespec ts;
  int status = clock_gettime (id, &ts);

  g_assert (status == 0);
  return (int64_t) ts.tv_sec * CLK_US_PER_S + ts.tv_nsec / 1000;
}

int64_t
clk_now_us (void)
{
  return read_clock_us (CLOCK_BOOTTIME);
}

int64_t
clk_wall_ms (void)
{
  return read_clock_us (CLOCK_REALTIME) / CLK_US_PER_MS;
}
