#include "Coordination/Quotas/QuotaMessages.h"

#include <charconv>

namespace teaselhold::coordination::quotas {

namespace {

/// Bounds what a peer can make this node allocate.
constexpr std::size_t kMaxLines = 4096;

class LineWriter
{
public:
  explicit LineWriter(std::string_view aKind)
    : text_(aKind)
  {
  }

  LineWriter& Add(std::string_view aField)
  {
    text_ += '\t';
    text_ += aField;
    return *this;
  }

  LineWriter& Add(std::uint64_t aNumber)
  {
    return Add(std::string_view(std::to_string(aNumber)));
  }

  LineWriter& Add(const Position& aPosition)
  {
    return Add(std::uint64_t{ aPosition.slots })
      .Add(std::uint64_t{ aPosition.slot })
      .Add(std::uint64_t{ aPosition.part });
  }

  std::string Take()
  {
    text_ += '\n';
    return std::move(text_);
  }

private:
  std::string text_;
};

class LineReader
{
public:
  explicit LineReader(std::string_view aLine)
    : rest_(aLine)
  {
  }

  std::string_view Text()
  {
    if (isAtEnd_) {
      isValid_ = false;
      return {};
    }
    const auto end = rest_.find('\t');
    const auto field = rest_.substr(0, end);
    isAtEnd_ = end == std::string_view::npos;
    rest_.remove_prefix(isAtEnd_ ? rest_.size() : end + 1);
    return field;
  }

  template<typename Number>
  Number Value()
  {
    const auto field = Text();
    Number value{};
    const auto* end = field.data() + field.size();
    const auto result = std::from_chars(field.data(), end, value);
    isValid_ = isValid_ && result.ec == std::errc() && result.ptr == end;
    return value;
  }

  Position ReadPosition()
  {
    Position position;
    position.slots = Value<std::uint32_t>();
    position.slot = Value<std::uint32_t>();
    position.part = Value<std::uint32_t>();
    isValid_ = isValid_ && position.slots > 0 &&
               position.slot < position.slots && position.part < kParts;
    return position;
  }

  bool IsWhole() const { return isValid_ && isAtEnd_; }

private:
  std::string_view rest_;
  bool isValid_ = true;
  bool isAtEnd_ = false;
};

std::string
EncodeLine(const Claim& aClaim)
{
  return LineWriter("claim")
    .Add(aClaim.position)
    .Add(aClaim.number)
    .Add(std::uint64_t{ aClaim.isRelease })
    .Take();
}

std::string
EncodeLine(const Ask& aAsk)
{
  return LineWriter("ask")
    .Add(aAsk.position)
    .Add(aAsk.account)
    .Add(aAsk.term)
    .Add(std::uint64_t{ aAsk.held })
    .Add(std::uint64_t{ aAsk.returned })
    .Add(std::uint64_t{ aAsk.need })
    .Add(std::uint64_t{ aAsk.ahead })
    .Take();
}

std::string
EncodeLine(const Vouch& aVouch)
{
  return LineWriter("vouch")
    .Add(aVouch.position)
    .Add(std::uint64_t{ aVouch.isGiven })
    .Add(aVouch.lender)
    .Take();
}

std::string
EncodeLine(const Grant& aGrant)
{
  const auto empty =
    std::chrono::duration_cast<std::chrono::milliseconds>(aGrant.emptyFor);
  return LineWriter("grant")
    .Add(aGrant.position)
    .Add(aGrant.account)
    .Add(aGrant.term)
    .Add(std::uint64_t{ aGrant.need })
    .Add(std::uint64_t{ aGrant.ahead })
    .Add(static_cast<std::uint64_t>(empty.count()))
    .Take();
}

std::string
EncodeLine(const Moved& aMoved)
{
  return LineWriter("moved")
    .Add(aMoved.position)
    .Add(aMoved.account)
    .Add(aMoved.lender)
    .Take();
}

Claim
ReadClaim(LineReader& aReader)
{
  Claim claim;
  claim.position = aReader.ReadPosition();
  claim.number = aReader.Value<std::uint64_t>();
  claim.isRelease = aReader.Value<std::uint32_t>() != 0;
  return claim;
}

Ask
ReadAsk(LineReader& aReader)
{
  Ask ask;
  ask.position = aReader.ReadPosition();
  ask.account = aReader.Text();
  ask.term = aReader.Value<std::uint64_t>();
  ask.held = aReader.Value<std::uint32_t>();
  ask.returned = aReader.Value<std::uint32_t>();
  ask.need = aReader.Value<std::uint32_t>();
  ask.ahead = aReader.Value<std::uint32_t>();
  return ask;
}

Vouch
ReadVouch(LineReader& aReader)
{
  Vouch vouch;
  vouch.position = aReader.ReadPosition();
  vouch.isGiven = aReader.Value<std::uint32_t>() != 0;
  vouch.lender = aReader.Text();
  return vouch;
}

Grant
ReadGrant(LineReader& aReader)
{
  Grant grant;
  grant.position = aReader.ReadPosition();
  grant.account = aReader.Text();
  grant.term = aReader.Value<std::uint64_t>();
  grant.need = aReader.Value<std::uint32_t>();
  grant.ahead = aReader.Value<std::uint32_t>();
  grant.emptyFor = std::chrono::milliseconds(aReader.Value<std::uint32_t>());
  return grant;
}

Moved
ReadMoved(LineReader& aReader)
{
  Moved moved;
  moved.position = aReader.ReadPosition();
  moved.account = aReader.Text();
  moved.lender = aReader.Text();
  return moved;
}

/// Calls a function for each line.
/// @return false if one is not valid.
template<typename Function>
bool
ForEachLine(std::string_view aText, Function aFunction)
{
  for (std::size_t lines = 0; !aText.empty(); ++lines) {
    const auto end = aText.find('\n');
    if (end == std::string_view::npos || lines == kMaxLines) {
      return false;
    }
    LineReader reader(aText.substr(0, end));
    if (!aFunction(reader.Text(), reader) || !reader.IsWhole()) {
      return false;
    }
    aText.remove_prefix(end + 1);
  }
  return true;
}

} // namespace

std::string
Encode(const QuestionMessage& aMessage)
{
  auto text =
    LineWriter("from").Add(aMessage.node).Add(aMessage.incarnation).Take();
  for (const auto& question : aMessage.questions) {
    text += std::visit(
      [](const auto& aQuestion) { return EncodeLine(aQuestion); }, question);
  }
  return text;
}

std::string
Encode(const AnswerMessage& aMessage)
{
  std::string text;
  for (const auto& answer : aMessage.answers) {
    text += std::visit([](const auto& aAnswer) { return EncodeLine(aAnswer); },
                       answer);
  }
  return text;
}

std::optional<QuestionMessage>
DecodeQuestions(std::string_view aText)
{
  QuestionMessage message;
  const auto isValid =
    ForEachLine(aText, [&](std::string_view aKind, LineReader& aReader) {
      if (aKind == "from") {
        message.node = aReader.Text();
        message.incarnation = aReader.Value<std::uint64_t>();
      } else if (aKind == "claim") {
        message.questions.emplace_back(ReadClaim(aReader));
      } else if (aKind == "ask") {
        message.questions.emplace_back(ReadAsk(aReader));
      } else {
        return false;
      }
      return true;
    });
  if (!isValid || message.node.empty()) {
    return std::nullopt;
  }
  return message;
}

std::optional<AnswerMessage>
DecodeAnswers(std::string_view aText)
{
  AnswerMessage message;
  const auto isValid =
    ForEachLine(aText, [&](std::string_view aKind, LineReader& aReader) {
      if (aKind == "vouch") {
        message.answers.emplace_back(ReadVouch(aReader));
      } else if (aKind == "grant") {
        message.answers.emplace_back(ReadGrant(aReader));
      } else if (aKind == "moved") {
        message.answers.emplace_back(ReadMoved(aReader));
      } else {
        return false;
      }
      return true;
    });
  if (!isValid) {
    return std::nullopt;
  }
  return message;
}

} // namespace teaselhold::coordination::quotas
