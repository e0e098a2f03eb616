#pragma once

#include "Utilities/teaselctl/ExitCode.h"
#include "Utilities/teaselctl/Options.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace teaselhold::tool {

/// Writes what a command found: results on the output stream, as text or as one
/// JSON object, and errors on the error stream in both cases.
class Report
{
public:
  Report(bool aJson, std::ostream& aOutput, std::ostream& aErrors)
    : json_(aJson)
    , output_(aOutput)
    , errors_(aErrors)
  {
  }

  /// Writes the result in the form that the operator asked for.
  void Result(const nlohmann::json& aJson, const std::string& aText) const;

  /// Writes an error. JSON readers get it as "error" as well.
  /// @return aCode
  ExitCode Fail(ExitCode aCode, const std::string& aMessage) const;

  /// Writes a line for the operator's eyes only.
  void Note(const std::string& aMessage) const;

  std::ostream& Errors() const { return errors_; }

private:
  bool json_;
  std::ostream& output_;
  std::ostream& errors_;
};

/// Reads a whole file; fails with a sentence that names it.
tl::expected<std::string, std::string>
ReadFile(const std::string& aPath);

} // namespace teaselhold::tool
