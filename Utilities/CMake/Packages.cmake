# A package is one folder of Source built as one static library.
#
#   trefoilwing_add_package(NAME LAYER layer SOURCES file... DEPENDS target...)
#
# LAYER restricts what the package may link:
#   core      core packages (Base, Model, Ports), Abseil and Boost headers;
#   decision  the same and other decision packages, so that decisions can't use an adapter, codec or socket;
#   adapter   anything.

set(TREFOILWING_CORE_PACKAGES Base Model Ports)
set(TREFOILWING_DECISION_PACKAGES Dispatch Broker Control Placement Intake)

function(trefoilwing_check_layer name layer)
  if(layer STREQUAL "adapter")
    return()
  endif()
  set(allowed ${TREFOILWING_CORE_PACKAGES})
  if(layer STREQUAL "decision")
    list(APPEND allowed ${TREFOILWING_DECISION_PACKAGES})
  endif()
  foreach(dependency IN LISTS ARGN)
    if(dependency MATCHES "^(absl::.*|Boost::headers)$" OR dependency IN_LIST allowed)
      continue()
    endif()
    message(FATAL_ERROR
      "${CMAKE_CURRENT_LIST_FILE}: package ${name} (layer ${layer}) may not link ${dependency}. "
      "Move the code that needs it behind an interface in Source/Ports.")
  endforeach()
endfunction()

function(trefoilwing_add_package name)
  cmake_parse_arguments(PACKAGE "" "LAYER" "SOURCES;DEPENDS" ${ARGN})
  trefoilwing_check_layer(${name} ${PACKAGE_LAYER} ${PACKAGE_DEPENDS})
  add_library(${name} STATIC ${PACKAGE_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/Source)
  target_link_libraries(${name} PUBLIC ${PACKAGE_DEPENDS})
endfunction()

# Adds a CppUTest executable for the tests of one folder and registers it with ctest.
function(trefoilwing_add_test name)
  cmake_parse_arguments(TEST "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${TEST_SOURCES} ${PROJECT_SOURCE_DIR}/Tests/Support/TestMain.cpp)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/Tests)
  target_link_libraries(${name} PRIVATE ${TEST_DEPENDS} PkgConfig::CPPUTEST Threads::Threads)
  add_test(NAME ${name} COMMAND ${name})
endfunction()
