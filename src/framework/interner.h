#ifndef CRANBERRYSPOOL_FRAMEWORK_INTERNER_H
#define CRANBERRYSPOOL_FRAMEWORK_INTERNER_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cranberryspool::framework {

/// Gives each name a dense number in the order of first use. Numbers are never
/// reused, so that an old one cannot come to mean something else.
template <typename Name, typename Id> class Interner {
public:
  /// Returns the number of the name, giving it one when it is new.
  Id intern(const Name &Key) {
    const auto [Position, IsNew] =
        Ids_.try_emplace(Key, Id(static_cast<std::uint32_t>(Names_.size())));
    if (IsNew)
      Names_.push_back(Key);
    return Position->second;
  }

  /// Returns the number of a known name.
  std::optional<Id> find(const Name &Key) const {
    const auto Position = Ids_.find(Key);
    if (Position == Ids_.end())
      return std::nullopt;
    return Position->second;
  }

  /// Returns the name of a number that `intern` gave out.
  const Name &name(Id Number) const { return Names_.at(Number.value()); }

  std::size_t size() const { return Names_.size(); }

private:
  std::map<Name, Id> Ids_;
  std::vector<Name> Names_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_INTERNER_H
