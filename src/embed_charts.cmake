# Embeds the text of each charts/NAME.toml in the header generated/charts/NAME.h
# as a string constant in carawayhaven::charts.
file(GLOB chart_files CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/charts/*.toml)
set(chart_headers)
foreach(chart ${chart_files})
  get_filename_component(chart_name ${chart} NAME_WE)
  set(header ${PROJECT_BINARY_DIR}/generated/charts/${chart_name}.h)
  add_custom_command(
    OUTPUT ${header}
    COMMAND ${CMAKE_COMMAND} -DCHART=${chart} -DNAME=${chart_name}
            -DHEADER=${header} -P ${CMAKE_CURRENT_LIST_DIR}/embed_chart.cmake
    DEPENDS ${chart} ${CMAKE_CURRENT_LIST_DIR}/embed_chart.cmake)
  list(APPEND chart_headers ${header})
endforeach()
add_custom_target(carawayhaven_charts DEPENDS ${chart_headers})
