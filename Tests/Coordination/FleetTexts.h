#pragma once

#include <string>

/// Configurations for the tests of DirectFleet.
namespace teaselhold::tests {

/// Returns a configuration that is large enough to be read in full by a few
/// nodes only. Comments make up its size, so that it is cheap to compile.
inline std::string
MakeText(unsigned aVersion)
{
  std::string text;
  for (unsigned i = 0; i < 2000; ++i) {
    text += "# A comment of a hundred bytes, so that this text is above the "
            "size from which only a few nodes read.\n";
  }
  text += "[service visits]\nentry = yes\n";
  constexpr unsigned kRoutes = 8;
  for (unsigned i = 0; i < kRoutes; ++i) {
    // Each version changes a single route.
    const auto timeout =
      100 + (aVersion >= i ? (aVersion - i) / kRoutes : 0) * 10;
    text += "[route r" + std::to_string(i) + "]\nmatch = ANY /r" +
            std::to_string(i) +
            "\nservice = visits\nclass = lookup\n"
            "idempotent = yes\ntimeout = " +
            std::to_string(timeout) + "ms\n";
  }
  return text;
}

/// A configuration that every node reads for itself.
inline std::string
MakeSmallText(unsigned aVersion)
{
  return "[service visits]\nentry = yes\n[route r]\nmatch = ANY /r\nservice = "
         "visits\nclass = lookup\nidempotent = yes\ntimeout = " +
         std::to_string(100 + aVersion) + "ms\n";
}

} // namespace teaselhold::tests
