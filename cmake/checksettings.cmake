# Runs a program with --check-settings on its example, which must pass, and on spoilt copies, which must each end with
# exit code 2 and name the file and the line. Called by CTest: cmake -DPROGRAM=... -DEXAMPLE=... -DWORK=... -P this file.
cmake_minimum_required(VERSION 3.20)

set(BAD_INPUT 2)

function(expect code pattern)
    execute_process(COMMAND ${PROGRAM} ${ARGN} RESULT_VARIABLE result OUTPUT_VARIABLE output ERROR_VARIABLE output TIMEOUT 20)
    if(NOT result STREQUAL code)
        message(FATAL_ERROR "${ARGN}: exit code ${result}, expected ${code}; output:\n${output}")
    endif()
    if(NOT output MATCHES "${pattern}")
        message(FATAL_ERROR "${ARGN}: the output does not match '${pattern}':\n${output}")
    endif()
endfunction()

# Writes the example with one text replaced, and expects the message at the line where that text stood.
function(expect_spoilt text replacement line message)
    file(READ ${EXAMPLE} content)
    string(FIND "${content}" "${text}" found)
    if(found EQUAL -1)
        message(FATAL_ERROR "the example has no '${text}'")
    endif()
    string(REPLACE "${text}" "${replacement}" content "${content}")
    file(WRITE ${WORK}/spoilt.toml "${content}")
    expect(${BAD_INPUT} "/spoilt\\.toml:${line}:[0-9]+: .*${message}" --settings ${WORK}/spoilt.toml --check-settings)
endfunction()

file(MAKE_DIRECTORY ${WORK})
expect(0 "the settings are good" --settings ${EXAMPLE} --check-settings)
expect_spoilt("[instance]" "[instances]" 3 "unknown key 'instances'")
expect_spoilt("data_centre = \"north\"" "data_centre = 7" 5 "'instance.data_centre'")
expect_spoilt("[instance]" "[instance" 3 "not valid TOML")
expect(${BAD_INPUT} "absent\\.toml" --settings ${WORK}/absent.toml --check-settings)
expect(${BAD_INPUT} "--help" --check-settings)
expect(${BAD_INPUT} "" --no-such-option)
expect(0 "Usage: " --help)
