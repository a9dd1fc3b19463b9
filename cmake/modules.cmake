# Functions that declare the libraries, tests, programs and fuzz targets of the modules.

# The Catch2 main function, compiled once and shared by all test programs.
if(NOT CRANBERRY_ONLY_PLATFORM)
  add_library(cranberry_catch_main OBJECT ${CMAKE_SOURCE_DIR}/cmake/catchmain.cpp)
endif()

# cranberry_module(NAME SOURCES file... DEPENDS target...)
# Declares the library cranberry_NAME, an interface library if the module has no sources.
function(cranberry_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  if(ARG_SOURCES)
    add_library(cranberry_${name} STATIC ${ARG_SOURCES})
    target_include_directories(cranberry_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    target_compile_options(cranberry_${name} PRIVATE -Wall -Wextra -Wpedantic -Werror)
    target_link_libraries(cranberry_${name} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(cranberry_${name} INTERFACE)
    target_include_directories(cranberry_${name} INTERFACE ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(cranberry_${name} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

# Time limit of a test program in seconds; sanitizers slow it down several times.
set(CRANBERRY_TEST_TIMEOUT 300)
if(CRANBERRY_SANITIZE_ADDRESS OR CRANBERRY_SANITIZE_THREAD)
  set(CRANBERRY_TEST_TIMEOUT 1500)
endif()

# cranberry_test(NAME SOURCES file... DEPENDS target...)
# Declares the Catch2 program test_NAME and the CTest test NAME that runs it.
function(cranberry_test name)
  if(CRANBERRY_ONLY_PLATFORM)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(test_${name} ${ARG_SOURCES} $<TARGET_OBJECTS:cranberry_catch_main>)
  target_compile_options(test_${name} PRIVATE -Wall -Wextra -Wpedantic -Werror)
  target_link_libraries(test_${name} PRIVATE ${ARG_DEPENDS})
  add_test(NAME ${name} COMMAND test_${name} WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${CRANBERRY_TEST_TIMEOUT})
endfunction()

# cranberry_program(NAME SOURCES file... DEPENDS target...)
# Declares the program NAME, which is built into bin/.
function(cranberry_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_options(${name} PRIVATE -Wall -Wextra -Wpedantic -Werror)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# cranberry_fuzz(NAME SOURCES file... DEPENDS target... SEEDS file... RUNS count)
# If CRANBERRY_FUZZ is set, declares the libFuzzer program fuzz_NAME and a CTest test that starts from
# the seed files and runs a fixed number of inputs with a fixed random seed. The test writes a file
# only for an input that fails.
function(cranberry_fuzz name)
  if(NOT CRANBERRY_FUZZ)
    return()
  endif()
  cmake_parse_arguments(ARG "" "RUNS" "SOURCES;DEPENDS;SEEDS" ${ARGN})
  add_executable(fuzz_${name} ${ARG_SOURCES})
  target_link_libraries(fuzz_${name} PRIVATE ${ARG_DEPENDS})
  target_link_options(fuzz_${name} PRIVATE -fsanitize=fuzzer)
  list(JOIN ARG_SEEDS "," SeedInputs)
  add_test(NAME fuzz_${name}
    COMMAND fuzz_${name} -seed=1 -runs=${ARG_RUNS} -max_len=8192 -seed_inputs=${SeedInputs}
      -artifact_prefix=${CMAKE_BINARY_DIR}/fuzz_${name}- -print_final_stats=1
    WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties(fuzz_${name} PROPERTIES TIMEOUT 300 LABELS fuzz)
  if(NOT TARGET fuzz_all)
    add_custom_target(fuzz_all)
  endif()
  add_dependencies(fuzz_all fuzz_${name})
endfunction()
