# pl_library(NAME util SOURCES a.c b.c LIBS PkgConfig::GLIB): one static
# library per package, named pl_NAME.
function(pl_library)
	cmake_parse_arguments(ARG "" "NAME" "SOURCES;LIBS" ${ARGN})
	add_library(pl_${ARG_NAME} STATIC ${ARG_SOURCES})
	target_link_libraries(pl_${ARG_NAME} PUBLIC ${ARG_LIBS})
endfunction()

# pl_test(NAME util_list SOURCES list_test.c LIBS pl_util): one cmocka
# program, registered with ctest.
function(pl_test)
	cmake_parse_arguments(ARG "" "NAME;TIMEOUT" "SOURCES;LIBS" ${ARGN})
	add_executable(test_${ARG_NAME} ${ARG_SOURCES})
	target_link_libraries(test_${ARG_NAME} PRIVATE ${ARG_LIBS} PkgConfig::CMOCKA)
	add_test(NAME ${ARG_NAME} COMMAND test_${ARG_NAME})
	if(NOT ARG_TIMEOUT)
		set(ARG_TIMEOUT 120)
	endif()
	set_tests_properties(${ARG_NAME} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
