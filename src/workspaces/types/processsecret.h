#ifndef CRANBERRYSPOOL_WORKSPACES_TYPES_PROCESSSECRET_H
#define CRANBERRYSPOOL_WORKSPACES_TYPES_PROCESSSECRET_H

#include <array>
#include <cstdint>

namespace cranberryspool::workspaces {

/// Random bytes, drawn at the start of a process, with which its index of keys
/// is keyed.
using ProcessSecret = std::array<std::uint8_t, 32>;

} // namespace cranberryspool::workspaces

#endif // CRANBERRYSPOOL_WORKSPACES_TYPES_PROCESSSECRET_H
