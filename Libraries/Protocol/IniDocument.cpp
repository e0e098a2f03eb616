#include "Protocol/IniDocument.h"

#include <algorithm>
#include <set>

namespace teaselhold::protocol {

namespace {

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) {
    return {};
  }
  const auto last = aText.find_last_not_of(" \t\r");
  return aText.substr(first, last - first + 1);
}

bool
HasControlCharacters(std::string_view aText)
{
  return std::ranges::any_of(aText, [](char aCharacter) {
    const auto byte = static_cast<unsigned char>(aCharacter);
    return (byte < 0x20 && byte != '\t') || byte == 0x7F;
  });
}

ProtocolError
SyntaxError(std::size_t aLine, std::string aMessage)
{
  return { ProtocolErrorCode::Syntax, aLine, std::move(aMessage) };
}

/// Reads one line after the other into sections.
class LineReader
{
public:
  void Read(std::string_view aLine)
  {
    ++line_;
    if (aLine.size() > IniDocument::kMaxLineBytes) {
      Fail("the line is longer than 16 KiB");
      return;
    }
    const auto text = Trim(aLine);
    if (text.empty() || text.front() == ';' || text.front() == '#') {
      return;
    }
    if (HasControlCharacters(text)) {
      Fail("the line has control characters");
    } else if (text.front() == '[') {
      ReadSection(text);
    } else {
      ReadEntry(text);
    }
  }

  bool HasTooManyErrors() const
  {
    return errors_.size() >= IniDocument::kMaxErrors;
  }

  std::vector<IniSection> sections_;
  std::vector<ProtocolError> errors_;

private:
  void Fail(std::string aMessage)
  {
    errors_.push_back(SyntaxError(line_, std::move(aMessage)));
  }

  void ReadSection(std::string_view aText)
  {
    if (aText.back() != ']') {
      Fail("expected \"]\" at the end of the section name");
      skipping_ = true;
      return;
    }
    const auto name = Trim(aText.substr(1, aText.size() - 2));
    if (name.empty()) {
      Fail("the section has no name");
      skipping_ = true;
      return;
    }
    skipping_ = false;
    sections_.push_back({ std::string(name), line_, {} });
    if (!names_.insert(std::string(name)).second) {
      Fail("section [" + std::string(name) + "] is defined twice");
    }
  }

  void ReadEntry(std::string_view aText)
  {
    const auto equals = aText.find('=');
    if (equals == std::string_view::npos) {
      Fail("expected \"key = value\" or \"[section]\"");
      return;
    }
    const auto key = Trim(aText.substr(0, equals));
    if (key.empty()) {
      Fail("the key before \"=\" is missing");
      return;
    }
    if (skipping_) {
      return;
    }
    if (sections_.empty()) {
      Fail("key \"" + std::string(key) + "\" stands before the first section");
      return;
    }
    auto& section = sections_.back();
    if (section.Find(key) != nullptr) {
      Fail("key \"" + std::string(key) + "\" stands twice in [" + section.name +
           "]");
      return;
    }
    section.entries.push_back(
      { std::string(key), std::string(Trim(aText.substr(equals + 1))), line_ });
  }

  std::size_t line_ = 0;
  /// Below a section whose name cannot be read.
  bool skipping_ = false;
  std::set<std::string> names_;
};

} // namespace

const IniEntry*
IniSection::Find(std::string_view aKey) const
{
  const auto found = std::ranges::find(entries, aKey, &IniEntry::key);
  return found == entries.end() ? nullptr : &*found;
}

tl::expected<IniDocument, std::vector<ProtocolError>>
IniDocument::Parse(std::string_view aText)
{
  std::vector<ProtocolError> errors;
  auto document = ParseReadable(aText, errors);
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  return document;
}

IniDocument
IniDocument::ParseReadable(std::string_view aText,
                           std::vector<ProtocolError>& aErrors)
{
  IniDocument document;
  if (aText.size() > kMaxBytes) {
    aErrors.push_back({ ProtocolErrorCode::TooLarge,
                        0,
                        "the text has " + std::to_string(aText.size()) +
                          " bytes; at most " + std::to_string(kMaxBytes) +
                          " are allowed" });
    return document;
  }
  LineReader reader;
  while (!aText.empty() && !reader.HasTooManyErrors()) {
    const auto end = aText.find('\n');
    reader.Read(aText.substr(0, end));
    aText = end == std::string_view::npos ? std::string_view{}
                                          : aText.substr(end + 1);
  }
  document.sections_ = std::move(reader.sections_);
  aErrors = std::move(reader.errors_);
  return document;
}

} // namespace teaselhold::protocol
