# lentilswitch_library(<folder> <dependency>...)
# One static library per folder of Source/Core, from all its .cpp files.
function(lentilswitch_library aName)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp
       ${CMAKE_CURRENT_SOURCE_DIR}/*.c++)
  if(sources)
    add_library(${aName} STATIC ${sources})
    target_include_directories(${aName} PUBLIC ${PROJECT_SOURCE_DIR}/Source/Core)
    target_link_libraries(${aName} PUBLIC ${ARGN})
  else()
    add_library(${aName} INTERFACE)
    target_include_directories(${aName}
                               INTERFACE ${PROJECT_SOURCE_DIR}/Source/Core)
    target_link_libraries(${aName} INTERFACE ${ARGN})
  endif()
endfunction()

# lentilswitch_test(<folder> <dependency>...)
# One test program per folder of Source/UnitTests, from all its .cpp files.
function(lentilswitch_test aName)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_executable(${aName}Tests ${sources})
    target_link_libraries(${aName}Tests PRIVATE ${ARGN} GTest::gtest_main)
    gtest_discover_tests(${aName}Tests DISCOVERY_MODE PRE_TEST
                         PROPERTIES TIMEOUT 240 ${LENTILSWITCH_TEST_PROPERTIES})
  endif()
endfunction()
