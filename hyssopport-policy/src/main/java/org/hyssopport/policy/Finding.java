package org.hyssopport.policy;

/**
 * One fault in an input and the place where it stands.
 *
 * @param place the path of the value, such as {@code classes[2].patience}
 * @param message what is wrong, naming the value
 * @since 0.1
 */
public record Finding(String place, String message) {

  @Override
  public String toString() {
    return place.isEmpty() ? message : place + ": " + message;
  }
}
