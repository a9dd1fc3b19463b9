#ifndef CRANBERRYSPOOL_ADMISSION_TYPES_ADMISSIONSETTINGS_H
#define CRANBERRYSPOOL_ADMISSION_TYPES_ADMISSIONSETTINGS_H

#include "scheduling/types/loadsheddingmode.h"

namespace cranberryspool::admission {

/// The settings of the admission queue of an instance.
struct AdmissionSettings {
  scheduling::LoadSheddingMode LoadShedding_ =
      scheduling::LoadSheddingMode::Off;
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_TYPES_ADMISSIONSETTINGS_H
