#ifndef CRANBERRYSPOOL_DOCUMENT_OBJECTREADER_H
#define CRANBERRYSPOOL_DOCUMENT_OBJECTREADER_H

#include "document/faultcollector.h"
#include "document/types/enumentry.h"
#include "document/types/jsonlocation.h"
#include "document/types/jsontree.h"
#include "document/types/range.h"
#include "framework/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::document {

/// Reads the members of one JSON object by key and reports what is wrong with
/// them. After a fault the reading functions return a harmless value. The keys
/// that it is asked for must outlive it.
class ObjectReader {
public:
  ObjectReader(const JsonTree &Tree, JsonLocation Location,
               FaultCollector &Faults);

  /// False when the place holds no object; every read then yields nothing.
  bool isObject() const { return Members_ != nullptr; }

  /// Tells whether the key is there; it then counts as known.
  bool has(std::string_view Key) { return find(Key) != nullptr; }

  std::uint32_t number(std::string_view Key, Range<std::uint32_t> Allowed);
  framework::Duration duration(std::string_view Key,
                               Range<framework::Duration> Allowed);
  /// Reads a share of calls, above 0 % and below 100 %, in parts per million.
  std::uint32_t share(std::string_view Key);
  /// Reads a name of lower-case letters, digits and inner hyphens.
  std::string name(std::string_view Key);
  /// Reads any string; nothing after a fault.
  std::optional<std::string> text(std::string_view Key);
  /// Reads a boolean; the key is required when there is no default.
  bool flag(std::string_view Key, std::optional<bool> Default);
  /// Reads one of a few words; the key may be left out.
  template <typename Value>
  Value enumValue(std::string_view Key,
                  const std::vector<EnumEntry<Value>> &Entries, Value Default);
  /// Reads an array whose length must be within the range. The key may be left
  /// out when no element is needed.
  std::vector<JsonLocation> list(std::string_view Key,
                                 Range<std::size_t> AllowedCount);
  /// Returns the value of a required key, to be read as an object.
  std::optional<JsonLocation> object(std::string_view Key);

  /// Reports the keys that were never asked for, and doubled ones.
  void finish();

  /// Reports a fault at the value of a key, or at the object without one.
  void report(std::string_view Key, FaultKind Kind, std::string Expected);

private:
  const JsonTree::Member *find(std::string_view Key);
  const JsonTree::Member *require(std::string_view Key);
  std::string pointerTo(std::string_view Key) const;
  std::string requestedKeysText() const;
  void reportMember(const JsonTree::Member &Member, FaultKind Kind,
                    std::string Expected);
  const std::string *stringValue(const JsonTree::Member &Member) const;
  /// `Expected` is called for the description after a fault only.
  template <typename Description>
  const std::string *requireString(std::string_view Key,
                                   const Description &Expected);

  const JsonTree &Tree_;
  JsonLocation Location_;
  FaultCollector &Faults_;
  const JsonTree::Object *Members_ = nullptr;
  std::vector<std::string_view> RequestedKeys_;
};

template <typename Value>
Value ObjectReader::enumValue(std::string_view Key,
                              const std::vector<EnumEntry<Value>> &Entries,
                              Value Default) {
  const JsonTree::Member *Found = find(Key);
  if (Found == nullptr)
    return Default;
  const std::string *Text = stringValue(*Found);
  std::string Expected;
  for (const EnumEntry<Value> &Each : Entries) {
    if (Text != nullptr && Each.Name_ == *Text)
      return Each.Value_;
    Expected += Expected.empty() ? "\"" : " or \"";
    Expected += std::string(Each.Name_) + "\"";
  }
  reportMember(*Found,
               Text == nullptr ? FaultKind::WrongType : FaultKind::UnknownWord,
               Expected);
  return Default;
}

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_OBJECTREADER_H
