# Helpers shared by the packages of the workspace. Each takes the sources of
# the calling folder; LIBS names what to link against.

# Adds a static library with the sources of its folder.
function(bergamot_library name)
  cmake_parse_arguments(arg "" "" "LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp")
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC "${CMAKE_SOURCE_DIR}/src")
  target_link_libraries(${name} PUBLIC ${arg_LIBS})
endfunction()

# Adds a program with the sources of its folder.
function(bergamot_program name)
  cmake_parse_arguments(arg "" "" "LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp")
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE "${CMAKE_SOURCE_DIR}/src")
  target_link_libraries(${name} PRIVATE ${arg_LIBS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
endfunction()

# What the sanitizer runs need: all tests without the label nosanitize, and
# those with the label concurrent.
add_custom_target(sanitized_tests)
add_custom_target(concurrent_tests)

# Adds the Catch2 test program test_<subject> and one CTest test for it, which
# runs the cases that ARGS selects, by default all.
function(bergamot_test subject)
  cmake_parse_arguments(arg "" "TIMEOUT" "LIBS;LABELS;ARGS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp")
  add_executable(test_${subject} ${sources})
  target_include_directories(test_${subject} PRIVATE "${CMAKE_SOURCE_DIR}/src" "${CMAKE_SOURCE_DIR}/tests")
  target_link_libraries(test_${subject} PRIVATE ${arg_LIBS} catchmain)
  set_target_properties(test_${subject} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/tests")
  add_test(NAME ${subject} COMMAND test_${subject} ${arg_ARGS})
  if(NOT arg_TIMEOUT)
    set(arg_TIMEOUT 120)
  endif()
  if(NOT "nosanitize" IN_LIST arg_LABELS)
    add_dependencies(sanitized_tests test_${subject})
  endif()
  if("concurrent" IN_LIST arg_LABELS)
    add_dependencies(concurrent_tests test_${subject})
  endif()
  set_tests_properties(${subject} PROPERTIES TIMEOUT ${arg_TIMEOUT} LABELS "${arg_LABELS}")
endfunction()

# Adds the benchmark program bench_<name>.
function(bergamot_bench name)
  bergamot_program(bench_${name} ${ARGN})
endfunction()
