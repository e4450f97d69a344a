# Included by the project's own build (CMAKE_PROJECT_shallotdrift_INCLUDE): adds the stand-in of this review.
function(add_review_stand_in)
  add_executable(review-stand-in-3 ${CMAKE_SOURCE_DIR}/review/stand-in-3/main.cpp)
  target_link_libraries(review-stand-in-3 PRIVATE StandIn)
endfunction()
cmake_language(DEFER CALL add_review_stand_in)
