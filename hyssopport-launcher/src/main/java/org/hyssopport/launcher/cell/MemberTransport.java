package org.hyssopport.launcher.cell;

import org.hyssopport.protocol.MemberMessage;

/** Sends messages to members. */
interface MemberTransport {

  /** Sends a message, or drops it if the member can't be reached. */
  void send(String address, MemberMessage message);

  /** Opens a new connection for the next message; the old one may have gone silent. */
  void reconnect(String address);
}
