#pragma once

#include "Protocol/ProtocolError.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace teaselhold::protocol {

struct IniEntry
{
  std::string key;
  std::string value;
  std::size_t line;
};

struct IniSection
{
  std::string name;
  std::size_t line;
  std::vector<IniEntry> entries;

  /// @return nullptr if the section has no such key.
  const IniEntry* Find(std::string_view aKey) const;
};

/// An INI text with the line of each section and key. Lines that start with
/// ';' or '#' are comments. Keys before the first section are an error.
class IniDocument
{
public:
  /// Bounds the memory for a text.
  static constexpr std::size_t kMaxBytes = 8 * 1024 * 1024;
  static constexpr std::size_t kMaxLineBytes = 16 * 1024;
  /// Reading stops after this many errors, so that noise gives a short report.
  static constexpr std::size_t kMaxErrors = 50;

  /// Reads aText and returns every syntax error at once.
  static tl::expected<IniDocument, std::vector<ProtocolError>> Parse(
    std::string_view aText);

  /// Reads the lines that can be read and puts an error for each other one into
  /// aErrors,
  /// so that a caller can report errors of other kinds together with them. The
  /// keys below an unreadable section name are left out.
  static IniDocument ParseReadable(std::string_view aText,
                                   std::vector<ProtocolError>& aErrors);

  const std::vector<IniSection>& Sections() const { return sections_; }

private:
  std::vector<IniSection> sections_;
};

} // namespace teaselhold::protocol
