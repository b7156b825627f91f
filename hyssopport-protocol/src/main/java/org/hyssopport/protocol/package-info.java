/**
 * The adapters to the platform, the workers and the peers: HTTP with JSON, and framed TCP with
 * MessagePack.
 */
package org.hyssopport.protocol;
