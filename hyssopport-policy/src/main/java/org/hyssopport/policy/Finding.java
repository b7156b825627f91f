package org.hyssopport.policy;

/**
 * A fault in an input, with its place.
 *
 * @param place the path of the value at fault, such as {@code classes[2].patience}; empty for the
 *     whole input
 * @param message what is wrong, with the value at fault
 * @since 0.1
 */
public record Finding(String place, String message) {

  @Override
  public String toString() {
    return place.isEmpty() ? message : place + ": " + message;
  }
}
