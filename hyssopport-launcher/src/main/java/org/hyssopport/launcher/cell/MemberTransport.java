package org.hyssopport.launcher.cell;

import org.hyssopport.protocol.MemberMessage;

/** Sends messages to the members of the cell, this one included. */
interface MemberTransport {

  /** Sends a message to a member; it is dropped if the member can't be reached. */
  void send(String address, MemberMessage message);

  /**
   * Closes the connection to a member, which may be dead without an error; the next message opens a
   * new one.
   */
  void reconnect(String address);
}
