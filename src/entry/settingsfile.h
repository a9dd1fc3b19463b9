#ifndef CRANBERRYSPOOL_ENTRY_SETTINGSFILE_H
#define CRANBERRYSPOOL_ENTRY_SETTINGSFILE_H

#include "document/types/documentfault.h"
#include "entry/entrysettings.h"
#include "framework/result.h"

#include <string_view>

namespace cranberryspool::entry {

/// Parses and validates the settings of an instance (JSON with comments).
/// Returns all errors, each with its line, column and JSON pointer.
framework::Result<EntrySettings, document::DocumentFaults>
parseSettings(std::string_view Text);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_SETTINGSFILE_H
