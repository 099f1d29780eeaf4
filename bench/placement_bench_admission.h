#ifndef BENCH_PLACEMENT_BENCH_ADMISSION_H_
#define BENCH_PLACEMENT_BENCH_ADMISSION_H_

#include <cstdint>

namespace comfreyshift::bench {

// Measures admission in virtual time and prints one JSON object per line: a
// client at ten times its quota, goodput at twice capacity and a wave of
// cancellations.
void RunAdmission(uint64_t seed);

// Measures the processor time of a decision and the bytes for a target and a
// client, and prints one JSON object per line.
void RunCosts(uint64_t seed);

}  // namespace comfreyshift::bench

#endif  // BENCH_PLACEMENT_BENCH_ADMISSION_H_
