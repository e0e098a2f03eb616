#include "Services/teaselholdd/ExpositionWriter.h"

#include <array>
#include <cstdio>

namespace teaselhold::daemon {

namespace {

std::string
EscapeLabel(std::string_view aText)
{
  std::string escaped;
  for (const char character : aText) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

std::string
FormatValue(double aValue)
{
  // 15 digits keep byte counts exact up to a petabyte without giving 0.0005
  // as 0.00050000000000000001.
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.15g", aValue);
  return text.data();
}

} // namespace

void
ExpositionWriter::Family(std::string_view aName,
                         std::string_view aType,
                         std::string_view aHelp)
{
  text_.append("# HELP ").append(aName).append(" ").append(aHelp);
  text_.append("\n# TYPE ").append(aName).append(" ").append(aType);
  text_ += '\n';
}

void
ExpositionWriter::Sample(std::string_view aName,
                         const Labels& aLabels,
                         double aValue)
{
  text_.append(aName);
  char separator = '{';
  for (const auto& [name, value] : aLabels) {
    text_ += separator;
    text_.append(name).append("=\"").append(EscapeLabel(value)).append("\"");
    separator = ',';
  }
  text_.append(aLabels.empty() ? " " : "} ");
  text_.append(FormatValue(aValue)).append("\n");
}

} // namespace teaselhold::daemon
