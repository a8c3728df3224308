//! Asks the operating system what has happened on a socket, without waiting and without reading from it.

use may::net::{TcpListener, TcpStream};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::os::fd::AsFd;

/// Returns whether a connection waits in the listener's queue.
pub(super) fn has_waiting_connection(listener: &TcpListener) -> bool {
    has_event(listener.inner(), PollFlags::IN)
}

/// Returns whether the event, the end of the connection or an error has happened.
fn has_event(socket: &impl AsFd, event: PollFlags) -> bool {
    let mut sockets = [PollFd::new(socket, event)];
    let is_polled = poll(&mut sockets, Some(&Timespec::default()));
    is_polled.is_ok() && sockets[0].revents().intersects(event | PollFlags::HUP | PollFlags::ERR)
}
/// Returns whether the client has sent input that is unread.
pub(super) fn has_unread_input(stream: &TcpStream) -> bool {
    has_event(stream.inner(), PollFlags::IN)
}

/// Returns whether the client has closed or reset the connection, also while bytes that it sent before are unread.
pub(super) fn has_client_left(stream: &TcpStream) -> bool {
    has_event(stream.inner(), PollFlags::RDHUP)
}
