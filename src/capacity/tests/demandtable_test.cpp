#include "capacity/demandtable.h"
#include <catch2/catch.hpp>
