# lentilswitch_library(<folder> <dependency>...)
# Defines the library of a folder of Source/Core: static, from all its .cpp and
# .c++ files, or an interface library if it has none.
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
# Defines the test program <folder>Tests of a folder of Source/UnitTests, from all
# its .cpp files. Set LENTILSWITCH_TEST_PROPERTIES before the call to give its
# tests further properties.
function(lentilswitch_test aName)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_executable(${aName}Tests ${sources})
    target_link_libraries(${aName}Tests PRIVATE ${ARGN} GTest::gtest_main)
    gtest_discover_tests(${aName}Tests DISCOVERY_MODE PRE_TEST
                         PROPERTIES TIMEOUT 240 ${LENTILSWITCH_TEST_PROPERTIES})
  endif()
endfunction()
