#include "Utilities/teaselctl/LogLine.h"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace teaselhold::tool {

namespace {

constexpr std::string_view kTimeShape = "dddd-dd-ddTdd:dd:dd.dddsdd:dd";

bool
IsDigit(char aByte)
{
  return aByte >= '0' && aByte <= '9';
}

bool
HasTimeShape(std::string_view aText)
{
  if (aText.size() != kTimeShape.size()) {
    return false;
  }
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char shape = kTimeShape[i];
    const bool fits = shape == 'd'   ? IsDigit(aText[i])
                      : shape == 's' ? aText[i] == '+' || aText[i] == '-'
                                     : aText[i] == shape;
    if (!fits) {
      return false;
    }
  }
  return true;
}

int
ReadDigits(std::string_view aText, std::size_t aStart, std::size_t aCount)
{
  int value = 0;
  std::from_chars(aText.data() + aStart, aText.data() + aStart + aCount, value);
  return value;
}

/// @param aTime a text of the shape of a time
std::int64_t
ToMilliseconds(std::string_view aTime)
{
  using namespace std::chrono;
  const auto number = [&](std::size_t aStart, std::size_t aCount) {
    return ReadDigits(aTime, aStart, aCount);
  };
  const sys_days day{ year(number(0, 4)) /
                      month(static_cast<unsigned>(number(5, 2))) /
                      std::chrono::day(static_cast<unsigned>(number(8, 2))) };
  const auto offset = hours(number(24, 2)) + minutes(number(27, 2));
  const auto local = day.time_since_epoch() + hours(number(11, 2)) +
                     minutes(number(14, 2)) + seconds(number(17, 2)) +
                     milliseconds(number(20, 3));
  return duration_cast<milliseconds>(aTime[23] == '-' ? local + offset
                                                      : local - offset)
    .count();
}

/// Takes words from the front of a text.
class WordReader
{
public:
  explicit WordReader(std::string_view aText)
    : text_(aText)
  {
  }

  /// @return the next word; none at the end.
  std::string_view Next()
  {
    text_.remove_prefix(std::min(text_.find_first_not_of(' '), text_.size()));
    const auto word = text_.substr(0, text_.find(' '));
    text_.remove_prefix(word.size());
    return word;
  }

  std::string_view Left() const { return text_; }

private:
  std::string_view text_;
};

/// Reads "key=value key=\"a value\"" into the line.
void
ReadFields(std::string_view aText, LogLine& aLine)
{
  aLine.rest = aText;
  while (!aText.empty()) {
    const auto equals = aText.find('=');
    if (equals == std::string_view::npos) {
      return;
    }
    const std::string key(aText.substr(0, equals));
    aText.remove_prefix(equals + 1);
    const bool isQuoted = aText.starts_with('"');
    const auto end = isQuoted ? aText.find('"', 1) : aText.find(' ');
    const auto value = aText.substr(isQuoted ? 1 : 0, isQuoted ? end - 1 : end);
    aLine.fields.emplace(key, value);
    aText.remove_prefix(
      end == std::string_view::npos ? aText.size() : end + (isQuoted ? 1 : 0));
    aText.remove_prefix(std::min(aText.find_first_not_of(' '), aText.size()));
  }
}

/// @return where the fields start: at the first word with "=".
std::size_t
FindFields(std::string_view aText)
{
  const auto equals = aText.find('=');
  if (equals == std::string_view::npos) {
    return aText.size();
  }
  const auto space = aText.rfind(' ', equals);
  return space == std::string_view::npos ? 0 : space + 1;
}

} // namespace

std::string_view
LogLine::Field(const std::string& aKey) const
{
  const auto found = fields.find(aKey);
  return found == fields.end() ? std::string_view() : found->second;
}

std::optional<LogLine>
ParseLogLine(std::string_view aLine)
{
  while (aLine.ends_with('\r') || aLine.ends_with(' ')) {
    aLine.remove_suffix(1);
  }
  WordReader words(aLine);
  LogLine line;
  auto word = words.Next();
  for (; !HasTimeShape(word); word = words.Next()) {
    if (word.empty()) {
      return std::nullopt;
    }
    line.origin = word;
  }
  line.time = word;
  line.milliseconds = ToMilliseconds(word);
  line.level = words.Next();
  const auto part = words.Next();
  if (part.size() < 3 || !part.starts_with('[') || !part.ends_with(']')) {
    return std::nullopt;
  }
  line.part = part.substr(1, part.size() - 2);
  auto text = words.Left();
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  const auto fields = FindFields(text);
  auto sentence = text.substr(0, fields);
  while (sentence.ends_with(' ')) {
    sentence.remove_suffix(1);
  }
  line.sentence = sentence;
  ReadFields(text.substr(fields), line);
  return line;
}

} // namespace teaselhold::tool
