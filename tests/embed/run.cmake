# Installs the build into a fresh prefix, builds the embedding program against it in a separate folder, and runs it.
file(REMOVE_RECURSE ${WORK})
foreach(step
    "${CMAKE_COMMAND};--install;${BUILD};--prefix;${WORK}/prefix"
    "${CMAKE_COMMAND};-S;${SOURCE};-B;${WORK}/build;-DCMAKE_PREFIX_PATH=${WORK}/prefix"
    "${CMAKE_COMMAND};--build;${WORK}/build")
  execute_process(COMMAND ${step} RESULT_VARIABLE result OUTPUT_VARIABLE output ERROR_VARIABLE output)
  if(NOT result EQUAL 0)
    message(FATAL_ERROR "${step}: ${output}")
  endif()
endforeach()
execute_process(COMMAND ${WORK}/build/embed RESULT_VARIABLE result OUTPUT_VARIABLE output)
if(NOT result EQUAL 0 OR NOT output MATCHES "^request 7 to upstream 4[12]\nrequest 7 to upstream 4[12]\nretried elsewhere\n$")
  message(FATAL_ERROR "unexpected output of the embedding program: ${output}")
endif()
