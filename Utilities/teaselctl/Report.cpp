#include "Utilities/teaselctl/Report.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace teaselhold::tool {

void
Report::Result(const nlohmann::json& aJson, const std::string& aText) const
{
  if (json_) {
    // Texts may hold bytes that are not UTF-8, which must not end the tool.
    output_ << aJson.dump(
                 2, ' ', false, nlohmann::json::error_handler_t::replace)
            << "\n";
  } else {
    output_ << aText;
  }
  output_.flush();
}

ExitCode
Report::Fail(ExitCode aCode, const std::string& aMessage) const
{
  errors_ << aMessage << (aMessage.ends_with('\n') ? "" : "\n");
  if (json_) {
    Result({ { "error", aMessage }, { "exit_code", static_cast<int>(aCode) } },
           "");
  }
  return aCode;
}

void
Report::Note(const std::string& aMessage) const
{
  errors_ << aMessage << std::endl;
}

tl::expected<std::string, std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file || std::filesystem::is_directory(aPath)) {
    return tl::make_unexpected(aPath + ": cannot be read");
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace teaselhold::tool
