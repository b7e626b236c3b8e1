/* Loads of the users' fleets. */
#include "support/fleet.h"

void
fleet_options_large (FleetOptions *options, uint32_t n_workers)
{
  double scale = n_workers / 240.0;

  *options = (FleetOptions){
    .n_workers = n_workers,
    .cpu_m = 16000,
    .mem_mb = 64000,
    .per_rack = 12,
    .target_headroom = 5.0,
    .load = 0.45,
    .swing = 0.5,
    .swing_s = 14.0,
    .impact = 2.0,
    .impact_spread = 1.2,
    .length_ms = 34000,
    .burst_at_ms = 18000,
    .burst_ms = 6000,
    .burst_factor = 1.4,
    .seed = 1,
  };
  options->kinds[FLEET_SHORT] = (FleetKind){ .name = "short",
                                             .priority = 0,
                                             .attempts_max = 2,
                                             .stretch = 1.5,
                                             .target_ms = 250,
                                             .per_s = 24.4 * scale,
                                             .n_at_start = 0,
                                             .steps = 1.6,
                                             .width = 13,
                                             .width_spread = 0.8,
                                             .width_max = 80,
                                             .cpu_m = 690,
                                             .cpu_spread = 0.45,
                                             .mem_mb = 1400,
                                             .work_ms = 640,
                                             .work_spread = 0.5,
                                             .work_max_ms = 1600,
                                             .fail_share = 0.02,
                                             .n_images = 24 };
  options->kinds[FLEET_HEAVY] = (FleetKind){ .name = "heavy",
                                             .priority = 2,
                                             .attempts_max = 3,
                                             .stretch = 2.0,
                                             .target_ms = 1000,
                                             .per_s = 3.92 * scale,
                                             .n_at_start = 0,
                                             .steps = 2.0,
                                             .width = 40,
                                             .width_spread = 0.6,
                                             .width_max = 160,
                                             .cpu_m = 1800,
                                             .cpu_spread = 0.3,
                                             .mem_mb = 3200,
                                             .work_ms = 2700,
                                             .work_spread = 0.5,
                                             .work_max_ms = 6800,
                                             .fail_share = 0.005,
                                             .n_images = 30,
                                             .is_best_effort = TRUE,
                                             .has_checkpoints = TRUE };
  options->kinds[FLEET_SERVING] = (FleetKind){ .name = "serving",
                                               .priority = 0,
                                               .attempts_max = 4,
                                               .stretch = 2.2,
                                               .target_ms = 2500,
                                               .per_s = 0,
                                               .n_at_start = (uint32_t) (47 * scale + 0.5),
                                               .steps = 1.0,
                                               .width = 24,
                                               .width_spread = 0.4,
                                               .width_max = 48,
                                               .cpu_m = 3200,
                                               .cpu_spread = 0.25,
                                               .mem_mb = 6400,
                                               .work_ms = 400,
                                               .work_spread = 0.5,
                                               .work_max_ms = 1000,
                                               .fail_share = 0,
                                               .n_images = 16,
                                               .is_continuous = TRUE };
}

void
fleet_options_small (FleetOptions *options)
{
  FleetKind *brief = &options->kinds[FLEET_SHORT];
  FleetKind *heavy = &options->kinds[FLEET_HEAVY];
  FleetKind *serving = &options->kinds[FLEET_SERVING];

  fleet_options_large (options, 11);
  options->cpu_m = 64000;
  options->mem_mb = 250000;
  options->per_rack = 3;
  brief->per_s = 6.96;
  brief->width = 6;
  brief->width_spread = 0.6;
  brief->width_max = 30;
  brief->cpu_m = 960;
  brief->n_images = 9;
  heavy->per_s = 1.6;
  heavy->width = 8;
  heavy->width_max = 40;
  heavy->cpu_m = 7000;
  heavy->work_ms = 1700;
  heavy->work_max_ms = 4300;
  heavy->n_images = 9;
  serving->n_at_start = 8;
  serving->width = 6;
  serving->width_max = 12;
  serving->cpu_m = 12000;
  serving->work_ms = 320;
  serving->n_images = 4;
}

void
fleet_options_two_classes (FleetOptions *options)
{
  fleet_options_small (options);
  options->target_headroom = 6.0;
  options->load = 0.48;
  options->swing_s = 20.0;
  options->impact = 15.0;
  options->impact_spread = 0.3;
  options->light_share = 0.55;
  options->phase_s = 1.5;
  options->phase_use = 0.66;
  options->phase_impact = 0.25;
  options->spike_load = 0.12;
  options->spike_share = 0.15;
  options->spike_s = 2.0;
  options->is_load_shared = TRUE;
}

void
fleet_options_crowded (FleetOptions *options, uint32_t n_workers)
{
  double scale = n_workers / 57.0;
  FleetKind *brief = &options->kinds[FLEET_SHORT];
  FleetKind *heavy = &options->kinds[FLEET_HEAVY];
  FleetKind *serving = &options->kinds[FLEET_SERVING];

  fleet_options_two_classes (options);
  options->n_workers = n_workers;
  options->cpu_m = 32000;
  options->mem_mb = 125000;
  options->per_rack = 7;
  options->target_headroom = 5.0;
  options->load = 0.45;
  options->swing = 0.6;
  options->swing_s = 14.0;
  options->light_share = 0.4;
  options->burst_at_ms = 8000;
  options->burst_ms = 6000;
  options->burst_factor = 1.4;
  brief->per_s = 11.8 * scale;
  brief->width = 9.5;
  brief->width_spread = 0.8;
  brief->width_max = 57;
  brief->cpu_m = 610;
  brief->work_ms = 800;
  brief->work_max_ms = 2000;
  heavy->per_s = 2.77 * scale;
  heavy->width = 20;
  heavy->width_max = 80;
  heavy->cpu_m = 3500;
  heavy->mem_mb = 6400;
  heavy->work_ms = 2200;
  heavy->work_max_ms = 5400;
  heavy->n_images = 18;
  serving->n_at_start = (uint32_t) (22 * scale + 0.5);
  serving->width = 14;
  serving->width_max = 28;
  serving->cpu_m = 6400;
  serving->mem_mb = 13000;
  serving->n_images = 10;
}

void
fleet_options_overloaded (FleetOptions *options, uint32_t n_workers)
{
  double scale = n_workers / 67.0;
  FleetKind *brief = &options->kinds[FLEET_SHORT];
  FleetKind *heavy = &options->kinds[FLEET_HEAVY];
  FleetKind *serving = &options->kinds[FLEET_SERVING];

  fleet_options_crowded (options, n_workers);
  options->cpu_m = 16000;
  options->mem_mb = 64000;
  options->per_rack = 8;
  brief->per_s = 14.2 * scale;
  brief->cpu_m = 390;
  brief->mem_mb = 780;
  brief->fail_share = 0.05;
  heavy->per_s = 8.2 * scale;
  heavy->attempts_max = 2;
  heavy->cpu_m = 1800;
  heavy->mem_mb = 3200;
  heavy->work_ms = 1700;
  heavy->work_max_ms = 4300;
  heavy->fail_share = 0.05;
  serving->n_at_start = (uint32_t) (22 * scale + 0.5);
  serving->cpu_m = 3200;
  serving->mem_mb = 6400;
}
