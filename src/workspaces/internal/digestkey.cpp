#include "workspaces/digestkey.h"

#include "workspaces/internal/sha256.h"

namespace cranberryspool::workspaces {

document::KeyDigest digestKey(std::string_view Key) {
  return sha256(Key.data(), Key.size());
}

} // namespace cranberryspool::workspaces
