#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <malloc.h>

int
main(int aCount, char** aArguments)
{
  // The fault matrices build and free a fleet per cell. With the default
  // thresholds, returning that memory to the system took half of their time.
  constexpr int kKeptBytes = 256 * 1024 * 1024;
  mallopt(M_TRIM_THRESHOLD, kKeptBytes);
  mallopt(M_MMAP_THRESHOLD, kKeptBytes);
  mallopt(M_TOP_PAD, 16 * 1024 * 1024);
  return Catch::Session().run(aCount, aArguments);
}
