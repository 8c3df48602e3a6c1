// Command standin3 plays the platform, the servers, the operator and the clients for the
// scripts of the cases 11 to 15. It starts no process: the script of a case starts the
// gateways with the settings files that this program writes.
package main
