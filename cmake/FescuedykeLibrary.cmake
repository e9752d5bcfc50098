# fescuedyke_add_library(<name> SOURCES <file>... [DEPENDS <library>...])
#
# Declares the library fescuedyke_<name> with public headers under include/fescuedyke/<name>.
function(fescuedyke_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(fescuedyke_${name} STATIC ${ARG_SOURCES})
  target_include_directories(fescuedyke_${name} PUBLIC ${PROJECT_SOURCE_DIR}/include)
  target_link_libraries(fescuedyke_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# fescuedyke_add_unittest(<name> SOURCES <file>... DEPENDS <library>...)
#
# Declares one GoogleTest program and registers it with CTest. RapidCheck draws
# from a fixed seed, so that every run gives the same verdict.
function(fescuedyke_add_unittest name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name}_tests ${ARG_SOURCES})
  target_include_directories(${name}_tests PRIVATE ${PROJECT_SOURCE_DIR}/unittests)
  target_link_libraries(${name}_tests PRIVATE ${ARG_DEPENDS} rapidcheck GTest::gtest_main)
  add_test(NAME ${name} COMMAND ${name}_tests)
  set_tests_properties(${name} PROPERTIES
                       ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=300" TIMEOUT 1800
                       WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
endfunction()
