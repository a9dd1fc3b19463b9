#include "fleet/peercodec.h"
#include "fleet/internal/cborreader.h"
#include "fleet/internal/cborwriter.h"
#include "fleet/internal/fieldlists.h"

#include <limits>
#include <optional>
#include <type_traits>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// Version of the encoding. Messages with other versions are rejected.
constexpr std::uint64_t CodecVersion = 1;

/// Times and ages above this number of microseconds are rejected.
constexpr std::uint64_t MaxMicroseconds = std::uint64_t{1} << 60;

constexpr std::uint64_t MaxKeyDecision =
    static_cast<std::uint64_t>(KeyDecision::Invalid);
constexpr std::uint64_t MaxKeyOutcome =
    static_cast<std::uint64_t>(KeyOutcome::NotRun);

template <typename Item> constexpr std::size_t fieldCount() {
  std::size_t Count = 0;
  Item Value;
  visitFields(Value, [&](auto &) { ++Count; });
  return Count;
}

class FieldWriter {
public:
  explicit FieldWriter(CborWriter &Out) : Out_(Out) {}

  void operator()(std::uint64_t &Value) { Out_.writeUnsigned(Value); }
  void operator()(std::uint32_t &Value) { Out_.writeUnsigned(Value); }
  void operator()(bool &Value) { Out_.writeBoolean(Value); }
  void operator()(std::string &Value) { Out_.writeText(Value); }
  void operator()(std::vector<std::uint8_t> &Value) { Out_.writeBytes(Value); }
  void operator()(KeyDecision &Value) { writeEnum(Value); }
  void operator()(KeyOutcome &Value) { writeEnum(Value); }
  void operator()(framework::Duration &Value) {
    const auto Count = Value.count();
    Out_.writeUnsigned(Count < 0 ? 0 : static_cast<std::uint64_t>(Count));
  }
  void operator()(framework::WallTime &Value) {
    framework::Duration SinceEpoch = Value.time_since_epoch();
    (*this)(SinceEpoch);
  }
  template <typename Tag, typename Value>
  void operator()(framework::StrongId<Tag, Value> &Id) {
    Value Raw = Id.value();
    (*this)(Raw);
  }
  template <typename Item> void operator()(std::optional<Item> &Value) {
    if (Value)
      (*this)(*Value);
    else
      Out_.writeNull();
  }
  template <typename Item> void operator()(std::vector<Item> &Items) {
    Out_.writeArrayHeader(Items.size());
    for (Item &Element : Items)
      (*this)(Element);
  }
  template <typename Item>
  requires std::is_class_v<Item>
  void operator()(Item &Value) {
    Out_.writeArrayHeader(fieldCount<Item>());
    visitFields(Value, *this);
  }

private:
  template <typename Enum> void writeEnum(Enum Value) {
    Out_.writeUnsigned(static_cast<std::uint64_t>(Value));
  }

  CborWriter &Out_;
};

class FieldReader {
public:
  explicit FieldReader(CborReader &In) : In_(In) {}

  void operator()(std::uint64_t &Value) { Value = In_.readUnsigned(); }
  void operator()(std::uint32_t &Value) {
    Value = static_cast<std::uint32_t>(
        readBounded(std::numeric_limits<std::uint32_t>::max()));
  }
  void operator()(bool &Value) { Value = In_.readBoolean(); }
  void operator()(std::string &Value) { Value = In_.readText(); }
  void operator()(std::vector<std::uint8_t> &Value) { Value = In_.readBytes(); }
  void operator()(KeyDecision &Value) {
    Value = static_cast<KeyDecision>(readBounded(MaxKeyDecision));
  }
  void operator()(KeyOutcome &Value) {
    Value = static_cast<KeyOutcome>(readBounded(MaxKeyOutcome));
  }
  void operator()(framework::Duration &Value) {
    Value = framework::Duration(
        static_cast<framework::Duration::rep>(readBounded(MaxMicroseconds)));
  }
  void operator()(framework::WallTime &Value) {
    framework::Duration SinceEpoch{};
    (*this)(SinceEpoch);
    Value = framework::WallTime(SinceEpoch);
  }
  template <typename Tag, typename Value>
  void operator()(framework::StrongId<Tag, Value> &Id) {
    Value Raw{};
    (*this)(Raw);
    Id = framework::StrongId<Tag, Value>(std::move(Raw));
  }
  template <typename Item> void operator()(std::optional<Item> &Value) {
    if (In_.tryReadNull()) {
      Value.reset();
      return;
    }
    (*this)(Value.emplace());
  }
  template <typename Item> void operator()(std::vector<Item> &Items) {
    const std::size_t Count = In_.readArrayHeader();
    for (std::size_t Index = 0; Index < Count && !In_.failure(); ++Index)
      (*this)(Items.emplace_back());
  }
  template <typename Item>
  requires std::is_class_v<Item>
  void operator()(Item &Value) {
    if (In_.readArrayHeader() != fieldCount<Item>())
      In_.fail(DecodeFailure::WrongFieldCount);
    visitFields(Value, *this);
  }

private:
  std::uint64_t readBounded(std::uint64_t Max) {
    const std::uint64_t Value = In_.readUnsigned();
    if (Value <= Max)
      return Value;
    In_.fail(DecodeFailure::ValueOutOfRange);
    return 0;
  }

  CborReader &In_;
};

template <std::size_t Index = 0>
bool readAlternative(std::uint64_t TypeIndex, FieldReader &Read,
                     PeerMessage &Message) {
  if constexpr (Index == std::variant_size_v<PeerMessage>) {
    return false;
  } else {
    if (TypeIndex != Index)
      return readAlternative<Index + 1>(TypeIndex, Read, Message);
    Read(Message.emplace<Index>());
    return true;
  }
}

} // namespace

std::vector<std::uint8_t> encodePeerMessage(const PeerMessage &Message) {
  CborWriter Out;
  FieldWriter Write(Out);
  Out.writeArrayHeader(3);
  Out.writeUnsigned(CodecVersion);
  Out.writeUnsigned(Message.index());
  PeerMessage Copy = Message;
  std::visit([&](auto &Item) { Write(Item); }, Copy);
  return Out.releaseBuffer();
}

framework::Result<PeerMessage, DecodeFailure>
decodePeerMessage(std::span<const std::uint8_t> Datagram) {
  if (Datagram.size() > MaxDatagramBytes)
    return framework::failure(DecodeFailure::TooLarge);
  CborReader In(Datagram);
  FieldReader Read(In);
  const std::size_t Count = In.readArrayHeader();
  if (!In.failure() && Count != 3)
    return framework::failure(DecodeFailure::WrongFieldCount);
  const std::uint64_t Version = In.readUnsigned();
  if (!In.failure() && Version != CodecVersion)
    return framework::failure(DecodeFailure::UnknownVersion);
  const std::uint64_t Index = In.readUnsigned();
  PeerMessage Message;
  const bool IsKnown = !In.failure() && readAlternative(Index, Read, Message);
  if (In.failure())
    return framework::failure(*In.failure());
  if (!IsKnown)
    return framework::failure(DecodeFailure::UnknownMessage);
  if (!In.isAtEnd())
    return framework::failure(DecodeFailure::TrailingBytes);
  return framework::success(std::move(Message));
}

} // namespace cranberryspool::fleet
