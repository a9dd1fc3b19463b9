#ifndef CRANBERRYSPOOL_FRAMEWORK_INTERNER_H
#define CRANBERRYSPOOL_FRAMEWORK_INTERNER_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace cranberryspool::framework {

/// Maps names to consecutive ids in the order of first use. Ids are never
/// reused, so that a stale id cannot refer to another name.
template <typename Name, typename Id> class Interner {
public:
  /// Returns the id of the name; assigns the next free id to a new name.
  Id intern(const Name &Key) {
    const auto [Entry, IsInserted] =
        Ids_.try_emplace(Key, Id(static_cast<std::uint32_t>(Names_.size())));
    if (IsInserted)
      Names_.push_back(Key);
    return Entry->second;
  }

  /// Returns the id of the name, or `nullopt` when it was never interned.
  std::optional<Id> find(const Name &Key) const {
    const auto Entry = Ids_.find(Key);
    if (Entry == Ids_.end())
      return std::nullopt;
    return Entry->second;
  }

  /// Returns the name for an id that `intern` returned. The reference stays
  /// valid.
  const Name &name(Id NameId) const { return Names_.at(NameId.value()); }

  std::size_t size() const { return Names_.size(); }

private:
  std::map<Name, Id> Ids_;
  std::deque<Name> Names_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_INTERNER_H
