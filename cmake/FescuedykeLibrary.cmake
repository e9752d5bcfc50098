# fescuedyke_add_library(<name> SOURCES <file>... [DEPENDS <library>...])
#
# Declares the library fescuedyke_<name> with public headers under include/fescuedyke/<name>.
function(fescuedyke_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(fescuedyke_${name} STATIC ${ARG_SOURCES})
  target_include_directories(fescuedyke_${name} PUBLIC ${PROJECT_SOURCE_DIR}/include)
  target_link_libraries(fescuedyke_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# fescuedyke_add_unittest(<name> SOURCES <file>... DEPENDS <library>... [SHARDS <number>])
#
# Declares one GoogleTest program and registers it with CTest. RapidCheck uses a fixed seed, so that
# every run gives the same result. With SHARDS, CTest splits the tests of the program into that many
# shards, which can run in parallel.
function(fescuedyke_add_unittest name)
  cmake_parse_arguments(ARG "" "SHARDS" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name}_tests ${ARG_SOURCES})
  target_include_directories(${name}_tests PRIVATE ${PROJECT_SOURCE_DIR}/unittests)
  target_link_libraries(${name}_tests PRIVATE ${ARG_DEPENDS} rapidcheck GTest::gtest_main)
  if(NOT ARG_SHARDS)
    set(ARG_SHARDS 1)
  endif()
  math(EXPR last "${ARG_SHARDS} - 1")
  foreach(shard RANGE ${last})
    set(test ${name})
    if(ARG_SHARDS GREATER 1)
      set(test ${name}_${shard})
    endif()
    add_test(NAME ${test} COMMAND ${name}_tests)
    set(environment "RC_PARAMS=seed=20261204 max_success=300"
                    "GTEST_TOTAL_SHARDS=${ARG_SHARDS}" "GTEST_SHARD_INDEX=${shard}")
    set_tests_properties(${test} PROPERTIES ENVIRONMENT "${environment}" TIMEOUT 1800
                         WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
  endforeach()
endfunction()
